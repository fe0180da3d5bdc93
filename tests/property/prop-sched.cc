#include "prop.h"

#include <cinttypes>
#include <map>
#include <set>
#include <string>
#include <vector>

static const int64_t SEC = NSEC_PER_SEC;

/* A document with some organisations and guarantees, over a cell of workers. */
struct world_spec {
	int workers;
	int per_rack;
	std::vector<std::vector<std::pair<int, int>>> guarantees;
};

static doc *make_doc(const world_spec &w, uint64_t number)
{
	GString *text = g_string_new("grace: 3s\ncells:\n  c:\n");
	doc_problems problems = STAILQ_HEAD_INITIALIZER(problems);
	std::vector<doc_section> sections;
	std::vector<std::string> texts;

	g_string_append_printf(text,
		"    {workers: %d, workers_per_rack: %d, accelerators: 8}\n"
		"classes:\n  now: {priority: 0, urgent: true}\n  later: {priority: 2}\n",
		w.workers, w.per_rack);
	texts.push_back(text->str);
	g_string_free(text, TRUE);
	std::string orgs = "organisations:\n";
	for (size_t o = 0; o < w.guarantees.size(); o++) {
		orgs += "  org" + std::to_string(o) + ":\n    guarantees: [";
		for (auto &g : w.guarantees[o])
			orgs += "{accelerators: " + std::to_string(g.first) +
				", within: " + adjacency_name((adjacency)g.second) + "},";
		orgs += "]\n";
	}
	texts.push_back(orgs);
	sections.push_back({(char *)"cluster", (char *)texts[0].c_str(), 1, 1, 0});
	sections.push_back({(char *)"teams/t", (char *)texts[1].c_str(), 2, 1, 0});
	doc *d = doc_parse_sections(sections.data(), sections.size(), &problems);
	if (!STAILQ_EMPTY(&problems))
		fprintf(stderr, "%d: %s\n", STAILQ_FIRST(&problems)->line, STAILQ_FIRST(&problems)->rule);
	RC_ASSERT(STAILQ_EMPTY(&problems));
	d->number = number;
	return d;
}

/* Guarantees that fit the declared workers, drawn at random. */
static world_spec random_world()
{
	world_spec w;

	w.workers = *rc::gen::inRange(2, 14);
	w.per_rack = *rc::gen::inRange(1, 5);
	w.guarantees.resize((size_t)*rc::gen::inRange(1, 5));
	std::vector<pack_worker> room;
	GArray *pieces = g_array_new(FALSE, TRUE, sizeof(pack_allocation));
	for (int i = 0; i < w.workers; i++)
		room.push_back({(uint32_t)(i / w.per_rack), 8});
	int tries = *rc::gen::inRange(0, 12);
	for (int i = 0; i < tries; i++) {
		pack_shape s = {*rc::gen::element<uint32_t>(1, 2, 4, 8, 12, 16),
			(adjacency)*rc::gen::inRange(0, 3)};

		if (pack_one(&s, 0, room.data(), room.size(), pieces))
			w.guarantees[(size_t)*rc::gen::inRange<int>(0, (int)w.guarantees.size())]
				.push_back({(int)s.accelerators, (int)s.adjacency});
	}
	g_array_unref(pieces);
	return w;
}

/* What happened, as text, to compare two runs; and what the outside knows of each job. */
struct fake {
	sched *s;
	int64_t now = SEC;
	uint64_t events = 0;
	std::string trace;
	std::map<job_ref, uint32_t> placed;
	std::map<job_ref, std::set<uint32_t>> open;
	std::map<job_ref, std::string> names;
	std::map<std::string, int> ended;
	std::set<std::string> unstoppable_running;
	std::map<std::string, int> starts;
	int submitted = 0;
	int urgent_max = 0;
};

/* Carry out the core's actions on the fake workers. */
static void carry_out(fake &f)
{
	sched_action a;

	while (sched_next(f.s, &a)) {
		struct sched_job *j = sched_job(f.s, a.job);
		char line[160];

		snprintf(line, sizeof(line), "%d %u %u %" PRId64 "\n", a.kind, a.job, a.attempt,
			a.kind == SCHED_ACTION_STOP ? (int64_t)a.stop.why : 0);
		f.trace += line;
		if (a.kind == SCHED_ACTION_PLACE && j->attempt == a.attempt &&
			j->state == SCHED_JOB_PLACING) {
			f.placed[a.job] = a.attempt;
			f.open[a.job].clear();
			for (uint32_t i = 0; i < j->members_len; i++)
				f.open[a.job].insert(i);
		} else if (a.kind == SCHED_ACTION_STOP && f.placed.count(a.job) == 0) {
			sched_reserve_failed(f.s, f.now, a.job, a.attempt);
		} else if (a.kind == SCHED_ACTION_END) {
			RC_ASSERT(f.ended[f.names[a.job]]++ == 0);
			if (a.end.not_run)
				RC_ASSERT(f.starts[f.names[a.job]] == 0);
			f.placed.erase(a.job);
			f.open.erase(a.job);
			sched_remove_job(f.s, a.job);
		}
		sched_action_clear(&a);
	}
}

/* Check the invariants. */
static void check(fake &f)
{
	char *wrong = sched_check(f.s);
	std::string text = wrong != nullptr ? wrong : "";

	free(wrong);
	if (!text.empty())
		RC_FAIL(text);
}

static void submit(fake &f, const world_spec &w, uint64_t r)
{
	static const uint32_t sizes[] = {0, 1, 1, 1, 2, 4, 8, 8, 16, 24, 64};
	job_spec s = {};
	std::string id = "j" + std::to_string(f.submitted++);
	std::string org = "org" + std::to_string(r % w.guarantees.size());

	s.id = (char *)id.c_str();
	s.org = (char *)org.c_str();
	s.kind = (char *)(r >> 40 & 1 ? "a" : "b");
	s.accelerators = sizes[(r >> 8) % ARRAY_LEN(sizes)];
	s.adjacency = s.accelerators == 0 ? 0 : (r >> 16) % 3;
	s.cores = (r >> 20) % 6;
	s.idempotent = r >> 24 & 1;
	s.checkpoint = (r >> 25 & 3) == 0;
	s.urgent = (r >> 28 & 3) == 0;
	s.priority = s.urgent ? 0 : 2;
	s.run_time_ms = (int64_t)((r >> 32) % 60000);
	s.deadline_ms = (r >> 48 & 7) == 0 ? 5000 : 0;
	job_ref ref = sched_submit(f.s, f.now, &s, nullptr);
	f.names[ref] = id;
}

/* One random event. */
static void step(fake &f, const world_spec &w, uint64_t r)
{
	uint32_t kind = r % 16;

	r /= 16;
	f.now += (int64_t)(r % 2000) * NSEC_PER_MSEC;
	r /= 2000;
	if (kind < 6) {
		submit(f, w, r);
	} else if (kind < 11 && !f.placed.empty()) {
		auto it = f.placed.begin();
		std::advance(it, r % f.placed.size());
		job_ref job = it->first;
		uint32_t attempt = it->second;
		auto &open = f.open[job];

		if (kind == 10 && sched_job(f.s, job)->started_at == 0) {
			sched_reserve_failed(f.s, f.now, job, attempt);
			f.placed.erase(job);
		} else {
			static const member_end ends[] = {MEMBER_END_DONE, MEMBER_END_DONE,
				MEMBER_END_DONE, MEMBER_END_FAILED, MEMBER_END_STOPPED,
				MEMBER_END_NEVER_STARTED, MEMBER_END_LOST};
			member_end end = ends[(r >> 8) % ARRAY_LEN(ends)];

			if (end != MEMBER_END_NEVER_STARTED) {
				sched_started(f.s, f.now, job, attempt);
				f.starts[f.names[job]]++;
			}
			if (open.empty())
				return;
			uint32_t m = *open.begin();
			open.erase(open.begin());
			sched_member_ended(f.s, f.now, job, attempt, m, end, 0);
			/* A repeated report changes nothing. */
			sched_member_ended(f.s, f.now, job, attempt, m, MEMBER_END_FAILED, 0);
			if (open.empty())
				f.placed.erase(job);
		}
	} else if (kind == 11 && !f.names.empty()) {
		auto it = f.names.begin();
		std::advance(it, r % f.names.size());
		if (f.ended.count(it->second) == 0)
			sched_cancel(f.s, f.now, it->first);
	} else if (kind == 12) {
		uint32_t worker = (uint32_t)(r % (uint64_t)w.workers);

		sched_worker_down(f.s, f.now, worker);
		for (auto &p : std::map<job_ref, uint32_t>(f.placed)) {
			struct sched_job *j = sched_job(f.s, p.first);

			if (j == nullptr)
				continue;
			for (uint32_t i = 0; i < j->members_len && j->attempt == p.second; i++) {
				if (j->members[i].worker != worker || f.open[p.first].erase(i) == 0)
					continue;
				if (j->started_at > 0)
					f.starts[f.names[p.first]]++;
				sched_member_ended(f.s, f.now, p.first, p.second, i,
					j->started_at > 0 ? MEMBER_END_LOST
							  : MEMBER_END_NEVER_STARTED,
					0);
				if (sched_job(f.s, p.first) == nullptr ||
					sched_job(f.s, p.first)->attempt != p.second ||
					sched_job(f.s, p.first)->members_len == 0)
					break;
			}
			if (f.open[p.first].empty())
				f.placed.erase(p.first);
		}
	} else if (kind == 13) {
		std::string name = "w" + std::to_string(r % (uint64_t)w.workers);
		std::string rack = "r" + std::to_string(r % (uint64_t)w.workers / (uint64_t)w.per_rack);
		sched_worker_spec spec = {name.c_str(), rack.c_str(), {8, 8, 32, 65536}};

		sched_worker_up(f.s, f.now, &spec);
	} else if (kind == 14) {
		world_spec smaller = w;

		smaller.guarantees[r % w.guarantees.size()].clear();
		doc *d = make_doc(r & 64 ? w : smaller, ++f.events);
		sched_set_doc(f.s, f.now, d, "c");
		doc_free(d);
	}
}

/* A new core with all workers up. */
static fake make_fake(const world_spec &w)
{
	fake f;
	doc *d = make_doc(w, 0);

	f.s = sched_new(SCHED_POLICY_FULL, 7);
	sched_set_doc(f.s, f.now, d, "c");
	doc_free(d);
	for (int i = 0; i < w.workers; i++) {
		std::string name = "w" + std::to_string(i), rack = "r" + std::to_string(i / w.per_rack);
		sched_worker_spec spec = {name.c_str(), rack.c_str(), {8, 8, 32, 65536}};

		sched_worker_up(f.s, f.now, &spec);
	}
	return f;
}

/* Run random events, with the invariants checked after each. */
static std::string run_events(const world_spec &w, const std::vector<uint64_t> &events)
{
	fake f = make_fake(w);
	std::string trace;

	try {
		for (uint64_t r : events) {
			step(f, w, r);
			carry_out(f);
			check(f);
			sched_run(f.s, f.now);
			check(f);
			carry_out(f);
			check(f);
		}
	} catch (...) {
		sched_free(f.s);
		throw;
	}
	trace = f.trace;
	sched_free(f.s);
	return trace;
}

static void invariants_hold()
{
	auto w = random_world();
	auto events = *rc::gen::arbitrary<std::vector<uint64_t>>();

	run_events(w, events);
}

static void same_events_same_actions()
{
	auto w = random_world();
	auto events = *rc::gen::arbitrary<std::vector<uint64_t>>();

	RC_ASSERT(run_events(w, events) == run_events(w, events));
}

/* Let everything run to its end: every job ends in one outcome and nothing is left over. */
static void drains_to_empty()
{
	auto w = random_world();
	auto events = *rc::gen::arbitrary<std::vector<uint64_t>>();
	fake f = make_fake(w);

	for (uint64_t r : events) {
		step(f, w, r);
		carry_out(f);
		sched_run(f.s, f.now);
		carry_out(f);
	}
	doc *d = make_doc(w, 1000000);
	sched_set_doc(f.s, f.now, d, "c");
	doc_free(d);
	for (int i = 0; i < w.workers; i++) {
		std::string name = "w" + std::to_string(i), rack = "r" + std::to_string(i / w.per_rack);
		sched_worker_spec spec = {name.c_str(), rack.c_str(), {8, 8, 32, 65536}};

		sched_worker_up(f.s, f.now, &spec);
	}
	for (int round = 0; round < 4000 && (sched_queued_count(f.s) + sched_running_count(f.s)) > 0; round++) {
		f.now += SEC;
		for (auto &p : std::map<job_ref, uint32_t>(f.placed)) {
			sched_started(f.s, f.now, p.first, p.second);
			f.starts[f.names[p.first]]++;
			for (uint32_t m : std::set<uint32_t>(f.open[p.first]))
				sched_member_ended(
					f.s, f.now, p.first, p.second, m, MEMBER_END_DONE, 0);
			f.placed.erase(p.first);
		}
		carry_out(f);
		sched_run(f.s, f.now);
		carry_out(f);
		check(f);
	}
	size_t queued = sched_queued_count(f.s), running = sched_running_count(f.s), ended = f.ended.size();
	sched_free(f.s);
	RC_ASSERT(queued == 0u);
	RC_ASSERT(running == 0u);
	RC_ASSERT(ended == (size_t)f.submitted);
}

/* With borrowers everywhere, a job that fits its guarantee is placed within the grace time. */
static void guarantee_is_reclaimed()
{
	auto w = random_world();
	fake f = make_fake(w);
	job_spec s = {};

	w.guarantees.push_back({});
	doc *d = make_doc(w, 1);
	sched_set_doc(f.s, f.now, d, "c");
	doc_free(d);
	std::string borrower = "org" + std::to_string(w.guarantees.size() - 1);
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
		f.names[sched_submit(f.s, f.now, &s, nullptr)] = id;
	}
	sched_run(f.s, f.now);
	carry_out(f);
	for (auto &p : f.placed)
		sched_started(f.s, f.now, p.first, p.second);
	size_t org = (size_t)*rc::gen::inRange<int>(0, (int)w.guarantees.size() - 1);
	std::vector<job_ref> claims;
	for (size_t g = 0; g < w.guarantees[org].size(); g++) {
		std::string id = "claim" + std::to_string(g), name = "org" + std::to_string(org);

		s = {};
		s.id = (char *)id.c_str();
		s.org = (char *)name.c_str();
		s.accelerators = (uint32_t)w.guarantees[org][g].first;
		s.adjacency = (uint32_t)w.guarantees[org][g].second;
		claims.push_back(sched_submit(f.s, f.now, &s, nullptr));
		f.names[claims.back()] = id;
	}
	for (int i = 0; i < 3; i++) {
		sched_run(f.s, f.now);
		sched_action a;
		while (sched_next(f.s, &a)) {
			struct sched_job *j = sched_job(f.s, a.job);

			if (a.kind == SCHED_ACTION_STOP) {
				for (uint32_t m = 0, len = j->members_len; m < len; m++)
					sched_member_ended(f.s, f.now, a.job, a.attempt, m,
						MEMBER_END_STOPPED, 0);
			}
			sched_action_clear(&a);
		}
		check(f);
	}
	for (job_ref c : claims) {
		enum sched_job_state st = sched_job(f.s, c)->state;
		RC_ASSERT(st == SCHED_JOB_PLACING);
	}
	sched_free(f.s);
}

void prop_sched()
{
	prop("sched: the invariants hold after every event", invariants_hold);
	prop("sched: same events give the same actions", same_events_same_actions);
	prop("sched: every job ends in exactly one outcome", drains_to_empty);
	prop("sched: guarantees are reclaimed from borrowers", guarantee_is_reclaimed);
}
