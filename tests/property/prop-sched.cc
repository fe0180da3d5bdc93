#include "prop.h"

#include <cinttypes>
#include <map>
#include <set>
#include <string>
#include <vector>

static const int64_t SEC = NSEC_PER_SEC;

/* A cell: its workers, and the guarantees of each organisation as (accelerators, adjacency). */
struct cell_spec {
	int workers;
	int per_rack;
	std::vector<std::vector<std::pair<int, int>>> guarantees;
};

static doc *make_doc(const cell_spec &cell, uint64_t number)
{
	GString *text = g_string_new("grace: 3s\ncells:\n  c:\n");
	doc_problems problems = STAILQ_HEAD_INITIALIZER(problems);
	std::vector<doc_section> sections;
	std::vector<std::string> texts;

	g_string_append_printf(text,
		"    {workers: %d, workers_per_rack: %d, accelerators: 8}\n"
		"classes:\n  now: {priority: 0, urgent: true}\n  later: {priority: 2}\n",
		cell.workers, cell.per_rack);
	texts.push_back(text->str);
	g_string_free(text, TRUE);
	std::string orgs = "organisations:\n";
	for (size_t o = 0; o < cell.guarantees.size(); o++) {
		orgs += "  org" + std::to_string(o) + ":\n    guarantees: [";
		for (auto &g : cell.guarantees[o])
			orgs += "{accelerators: " + std::to_string(g.first) +
				", within: " + adjacency_name((adjacency)g.second) + "},";
		orgs += "]\n";
	}
	texts.push_back(orgs);
	sections.push_back({(char *)"cluster", (char *)texts[0].c_str(), 1, 1, 0});
	sections.push_back({(char *)"teams/t", (char *)texts[1].c_str(), 2, 1, 0});
	doc *d = doc_parse_sections(sections.data(), sections.size(), &problems);
	if (!STAILQ_EMPTY(&problems))
		fprintf(stderr, "%d: %s\n", STAILQ_FIRST(&problems)->line,
			STAILQ_FIRST(&problems)->rule);
	RC_ASSERT(STAILQ_EMPTY(&problems));
	d->number = number;
	return d;
}

/* Generates a cell with guarantees that its workers can satisfy together. */
static cell_spec random_cell()
{
	cell_spec cell;

	cell.workers = *rc::gen::inRange(2, 14);
	cell.per_rack = *rc::gen::inRange(1, 5);
	cell.guarantees.resize((size_t)*rc::gen::inRange(1, 5));
	std::vector<pack_worker> free_workers;
	GArray *pieces = g_array_new(FALSE, TRUE, sizeof(pack_allocation));
	for (int i = 0; i < cell.workers; i++)
		free_workers.push_back({(uint32_t)(i / cell.per_rack), 8});
	int attempts = *rc::gen::inRange(0, 12);
	for (int i = 0; i < attempts; i++) {
		pack_shape s = {*rc::gen::element<uint32_t>(1, 2, 4, 8, 12, 16),
			(adjacency)*rc::gen::inRange(0, 3)};

		if (pack_one(&s, 0, free_workers.data(), free_workers.size(), pieces))
			cell.guarantees[(size_t)*rc::gen::inRange<int>(
						0, (int)cell.guarantees.size())]
				.push_back({(int)s.accelerators, (int)s.adjacency});
	}
	g_array_unref(pieces);
	return cell;
}

/*
 * A scheduler with simulated workers. The trace holds all actions as text, to compare two runs;
 * the maps hold what the workers and callers know of each job.
 */
struct simulation {
	struct sched *sched;
	int64_t now = SEC;
	uint64_t doc_number = 0;
	std::string trace;
	std::map<job_ref, uint32_t> placed_attempt;
	std::map<job_ref, std::set<uint32_t>> open_members;
	std::map<job_ref, std::string> job_ids;
	std::map<std::string, int> end_count;
	std::set<std::string> unstoppable_running; /* unused */
	/* Starts by job id; a job that is reported as not run must have none. */
	std::map<std::string, int> start_count;
	int submitted = 0;
	int urgent_max = 0; /* unused */
};

/* Applies the actions of the scheduler to the simulated workers. */
static void apply_actions(simulation &sim)
{
	sched_action a;

	while (sched_next(sim.sched, &a)) {
		struct sched_job *j = sched_job(sim.sched, a.job);
		char line[160];

		snprintf(line, sizeof(line), "%d %u %u %" PRId64 "\n", a.kind, a.job, a.attempt,
			a.kind == SCHED_ACTION_STOP ? (int64_t)a.stop.why : 0);
		sim.trace += line;
		if (a.kind == SCHED_ACTION_PLACE && j->attempt == a.attempt &&
			j->state == SCHED_JOB_PLACING) {
			sim.placed_attempt[a.job] = a.attempt;
			sim.open_members[a.job].clear();
			for (uint32_t i = 0; i < j->members_len; i++)
				sim.open_members[a.job].insert(i);
		} else if (a.kind == SCHED_ACTION_STOP &&
			   sim.placed_attempt.count(a.job) == 0) {
			sched_attempt_withdrawn(sim.sched, sim.now, a.job, a.attempt);
		} else if (a.kind == SCHED_ACTION_END) {
			RC_ASSERT(sim.end_count[sim.job_ids[a.job]]++ == 0);
			if (a.end.not_run)
				RC_ASSERT(sim.start_count[sim.job_ids[a.job]] == 0);
			sim.placed_attempt.erase(a.job);
			sim.open_members.erase(a.job);
			sched_remove_job(sim.sched, a.job);
		}
		sched_action_clear(&a);
	}
}

static void check_invariants(simulation &sim)
{
	char *problem = sched_check(sim.sched);
	std::string text = problem != nullptr ? problem : "";

	free(problem);
	if (!text.empty())
		RC_FAIL(text);
}

static void submit(simulation &sim, const cell_spec &cell, uint64_t r)
{
	static const uint32_t accelerator_counts[] = {0, 1, 1, 1, 2, 4, 8, 8, 16, 24, 64};
	job_spec s = {};
	std::string id = "j" + std::to_string(sim.submitted++);
	std::string org = "org" + std::to_string(r % cell.guarantees.size());

	s.id = (char *)id.c_str();
	s.org = (char *)org.c_str();
	s.kind = (char *)(r >> 40 & 1 ? "a" : "b");
	s.accelerators = accelerator_counts[(r >> 8) % ARRAY_LEN(accelerator_counts)];
	s.adjacency = s.accelerators == 0 ? 0 : (r >> 16) % 3;
	s.cores = (r >> 20) % 6;
	s.idempotent = r >> 24 & 1;
	s.checkpoint = (r >> 25 & 3) == 0;
	s.urgent = (r >> 28 & 3) == 0;
	s.priority = s.urgent ? 0 : 2;
	s.run_time_ms = (int64_t)((r >> 32) % 60000);
	s.deadline_ms = (r >> 48 & 7) == 0 ? 5000 : 0;
	job_ref ref = sched_submit(sim.sched, sim.now, &s, nullptr);
	sim.job_ids[ref] = id;
}

/* Applies one random event. */
static void random_event(simulation &sim, const cell_spec &cell, uint64_t r)
{
	uint32_t kind = r % 16;

	r /= 16;
	sim.now += (int64_t)(r % 2000) * NSEC_PER_MSEC;
	r /= 2000;
	if (kind < 6) {
		submit(sim, cell, r);
	} else if (kind < 11 && !sim.placed_attempt.empty()) {
		auto it = sim.placed_attempt.begin();
		std::advance(it, r % sim.placed_attempt.size());
		job_ref job = it->first;
		uint32_t attempt = it->second;
		auto &open = sim.open_members[job];

		if (kind == 10 && sched_job(sim.sched, job)->started_at == 0) {
			sched_attempt_withdrawn(sim.sched, sim.now, job, attempt);
			sim.placed_attempt.erase(job);
		} else {
			static const member_end ends[] = {MEMBER_END_DONE, MEMBER_END_DONE,
				MEMBER_END_DONE, MEMBER_END_FAILED, MEMBER_END_STOPPED,
				MEMBER_END_NEVER_STARTED, MEMBER_END_LOST};
			member_end end = ends[(r >> 8) % ARRAY_LEN(ends)];

			if (end != MEMBER_END_NEVER_STARTED) {
				sched_started(sim.sched, sim.now, job, attempt);
				sim.start_count[sim.job_ids[job]]++;
			}
			if (open.empty())
				return;
			uint32_t m = *open.begin();
			open.erase(open.begin());
			sched_member_ended(sim.sched, sim.now, job, attempt, m, end, 0);
			/* A repeated report must have no effect. */
			sched_member_ended(
				sim.sched, sim.now, job, attempt, m, MEMBER_END_FAILED, 0);
			if (open.empty())
				sim.placed_attempt.erase(job);
		}
	} else if (kind == 11 && !sim.job_ids.empty()) {
		auto it = sim.job_ids.begin();
		std::advance(it, r % sim.job_ids.size());
		if (sim.end_count.count(it->second) == 0)
			sched_cancel(sim.sched, sim.now, it->first);
	} else if (kind == 12) {
		uint32_t worker = (uint32_t)(r % (uint64_t)cell.workers);

		sched_worker_down(sim.sched, sim.now, worker);
		for (auto &p : std::map<job_ref, uint32_t>(sim.placed_attempt)) {
			struct sched_job *j = sched_job(sim.sched, p.first);

			if (j == nullptr)
				continue;
			for (uint32_t i = 0; i < j->members_len && j->attempt == p.second;
				i++) {
				if (j->members[i].worker != worker ||
					sim.open_members[p.first].erase(i) == 0)
					continue;
				/* Counts the start once more; only 0 or not matters. */
				if (j->started_at > 0)
					sim.start_count[sim.job_ids[p.first]]++;
				sched_member_ended(sim.sched, sim.now, p.first, p.second, i,
					j->started_at > 0 ? MEMBER_END_LOST
							  : MEMBER_END_NEVER_STARTED,
					0);
				if (sched_job(sim.sched, p.first) == nullptr ||
					sched_job(sim.sched, p.first)->attempt != p.second ||
					sched_job(sim.sched, p.first)->members_len == 0)
					break;
			}
			if (sim.open_members[p.first].empty())
				sim.placed_attempt.erase(p.first);
		}
	} else if (kind == 13) {
		std::string name = "w" + std::to_string(r % (uint64_t)cell.workers);
		std::string rack = "r" + std::to_string(r % (uint64_t)cell.workers /
							(uint64_t)cell.per_rack);
		/* Accelerators, slots, cores and memory in MiB. */
		sched_worker_spec spec = {name.c_str(), rack.c_str(), {8, 8, 32, 65536}};

		sched_worker_up(sim.sched, sim.now, &spec);
	} else if (kind == 14) {
		cell_spec reduced = cell;

		reduced.guarantees[r % cell.guarantees.size()].clear();
		doc *d = make_doc(r & 64 ? cell : reduced, ++sim.doc_number);
		sched_set_config(sim.sched, sim.now, d, "c");
		doc_free(d);
	}
}

/* Creates a scheduler with all workers up. */
static simulation make_simulation(const cell_spec &cell)
{
	simulation sim;
	doc *d = make_doc(cell, 0);

	sim.sched = sched_new(SCHED_POLICY_FULL, 7);
	sched_set_config(sim.sched, sim.now, d, "c");
	doc_free(d);
	for (int i = 0; i < cell.workers; i++) {
		std::string name = "w" + std::to_string(i),
			    rack = "r" + std::to_string(i / cell.per_rack);
		/* Accelerators, slots, cores and memory in MiB. */
		sched_worker_spec spec = {name.c_str(), rack.c_str(), {8, 8, 32, 65536}};

		sched_worker_up(sim.sched, sim.now, &spec);
	}
	return sim;
}

/* Applies the events, checks the invariants after each and returns the trace. */
static std::string run_events(const cell_spec &cell, const std::vector<uint64_t> &events)
{
	simulation sim = make_simulation(cell);
	std::string trace;

	try {
		for (uint64_t r : events) {
			random_event(sim, cell, r);
			apply_actions(sim);
			check_invariants(sim);
			sched_run(sim.sched, sim.now);
			check_invariants(sim);
			apply_actions(sim);
			check_invariants(sim);
		}
	} catch (...) {
		sched_free(sim.sched);
		throw;
	}
	trace = sim.trace;
	sched_free(sim.sched);
	return trace;
}

static void invariants_hold()
{
	auto cell = random_cell();
	auto events = *rc::gen::arbitrary<std::vector<uint64_t>>();

	run_events(cell, events);
}

static void scheduling_is_deterministic()
{
	auto cell = random_cell();
	auto events = *rc::gen::arbitrary<std::vector<uint64_t>>();

	RC_ASSERT(run_events(cell, events) == run_events(cell, events));
}

/* Once all workers are up, every job ends with one outcome and none stays queued or running. */
static void all_jobs_end()
{
	auto cell = random_cell();
	auto events = *rc::gen::arbitrary<std::vector<uint64_t>>();
	simulation sim = make_simulation(cell);

	for (uint64_t r : events) {
		random_event(sim, cell, r);
		apply_actions(sim);
		sched_run(sim.sched, sim.now);
		apply_actions(sim);
	}
	doc *d = make_doc(cell, 1000000);
	sched_set_config(sim.sched, sim.now, d, "c");
	doc_free(d);
	for (int i = 0; i < cell.workers; i++) {
		std::string name = "w" + std::to_string(i),
			    rack = "r" + std::to_string(i / cell.per_rack);
		/* Accelerators, slots, cores and memory in MiB. */
		sched_worker_spec spec = {name.c_str(), rack.c_str(), {8, 8, 32, 65536}};

		sched_worker_up(sim.sched, sim.now, &spec);
	}
	for (int round = 0; round < 4000 &&
			    (sched_queued_count(sim.sched) + sched_active_count(sim.sched)) > 0;
		round++) {
		sim.now += SEC;
		for (auto &p : std::map<job_ref, uint32_t>(sim.placed_attempt)) {
			sched_started(sim.sched, sim.now, p.first, p.second);
			sim.start_count[sim.job_ids[p.first]]++;
			for (uint32_t m : std::set<uint32_t>(sim.open_members[p.first]))
				sched_member_ended(sim.sched, sim.now, p.first, p.second, m,
					MEMBER_END_DONE, 0);
			sim.placed_attempt.erase(p.first);
		}
		apply_actions(sim);
		sched_run(sim.sched, sim.now);
		apply_actions(sim);
		check_invariants(sim);
	}
	size_t queued = sched_queued_count(sim.sched), running = sched_active_count(sim.sched),
	       ended = sim.end_count.size();
	sched_free(sim.sched);
	RC_ASSERT(queued == 0u);
	RC_ASSERT(running == 0u);
	RC_ASSERT(ended == (size_t)sim.submitted);
}

/*
 * In a cell that is full of borrowers, a job that fits its guarantee is placed once the
 * borrowers that the scheduler stops have ended. They end at once, and the three passes run at
 * the same instant, so the grace time is not checked.
 */
static void guarantee_is_reclaimed()
{
	auto cell = random_cell();
	simulation sim = make_simulation(cell);
	job_spec s = {};

	cell.guarantees.push_back({});
	doc *d = make_doc(cell, 1);
	sched_set_config(sim.sched, sim.now, d, "c");
	doc_free(d);
	std::string borrower = "org" + std::to_string(cell.guarantees.size() - 1);
	int n = *rc::gen::inRange(1, 120);
	for (int i = 0; i < n; i++) {
		std::string id = "b" + std::to_string(i);

		s = {};
		s.id = (char *)id.c_str();
		s.org = (char *)borrower.c_str();
		s.accelerators = *rc::gen::element<uint32_t>(1, 2, 4, 8);
		s.idempotent = true;
		s.run_time_ms = 3600000;
		s.adjacency = ADJACENCY_WORKER;
		sim.job_ids[sched_submit(sim.sched, sim.now, &s, nullptr)] = id;
	}
	sched_run(sim.sched, sim.now);
	apply_actions(sim);
	for (auto &p : sim.placed_attempt)
		sched_started(sim.sched, sim.now, p.first, p.second);
	size_t org = (size_t)*rc::gen::inRange<int>(0, (int)cell.guarantees.size() - 1);
	std::vector<job_ref> claims;
	for (size_t g = 0; g < cell.guarantees[org].size(); g++) {
		std::string id = "claim" + std::to_string(g),
			    name = "org" + std::to_string(org);

		s = {};
		s.id = (char *)id.c_str();
		s.org = (char *)name.c_str();
		s.accelerators = (uint32_t)cell.guarantees[org][g].first;
		s.adjacency = (uint32_t)cell.guarantees[org][g].second;
		claims.push_back(sched_submit(sim.sched, sim.now, &s, nullptr));
		sim.job_ids[claims.back()] = id;
	}
	for (int i = 0; i < 3; i++) {
		sched_run(sim.sched, sim.now);
		sched_action a;
		while (sched_next(sim.sched, &a)) {
			struct sched_job *j = sched_job(sim.sched, a.job);

			if (a.kind == SCHED_ACTION_STOP) {
				for (uint32_t m = 0, len = j->members_len; m < len; m++)
					sched_member_ended(sim.sched, sim.now, a.job, a.attempt,
						m, MEMBER_END_STOPPED, 0);
			}
			sched_action_clear(&a);
		}
		check_invariants(sim);
	}
	for (job_ref c : claims) {
		enum sched_job_state st = sched_job(sim.sched, c)->state;
		RC_ASSERT(st == SCHED_JOB_PLACING);
	}
	sched_free(sim.sched);
}

void prop_sched()
{
	check_property("sched: the invariants hold after every event", invariants_hold);
	check_property(
		"sched: the same events give the same actions", scheduling_is_deterministic);
	check_property("sched: every job ends with exactly one outcome", all_jobs_end);
	check_property(
		"sched: guarantees are reclaimed from borrowers", guarantee_is_reclaimed);
}
