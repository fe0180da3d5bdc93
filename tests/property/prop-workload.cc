#include "prop.h"

extern "C" {
#include "workload.h"
}

#include <cstring>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

/*
 * The workload core, unchanged, over fake workers, links and a fake store that random events
 * drive: links are cut with what is in them, workers crash and come back as another life or
 * go for good, answers to starts are lost, the store is down, coordinators die or are replaced
 * while they go on. The workers judge: no task runs twice at once, none after a done end was
 * stored, none over a worker's capacity, none before its turn; and all is done in the end.
 */

static const int64_t MS = NSEC_PER_MSEC;
static const int64_t SEC = NSEC_PER_SEC;
static const int64_t TICK = 50 * MS;
static const int64_t AUTHORITY = 4 * SEC;
static const int64_t HOLD = 6 * SEC;
static const int WORKERS = 5;

namespace
{

struct world;

struct run {
	uint32_t attempt;
	int64_t left;
	bool stopping;
	int64_t stop_at;
	const wl_step *step;
};

struct ended {
	uint64_t number;
	std::string task;
	uint32_t attempt;
	uint32_t how;
};

/* A worker with its agent, which keeps nothing that the worker does not have. */
struct worker {
	std::string name;
	int life = 1;
	bool up = true;
	uint64_t fence = 0;
	std::map<std::string, run> runs;
	std::map<std::string, uint32_t> highest;
	std::vector<ended> ends;
	uint64_t next_end = 1;
	int64_t lease = 0;
	/* The agent. */
	int follows = -1;
	uint64_t term = 0;
	int64_t authority = 0;
	uint64_t stored = 0;
	uint64_t last_ordinal = 0;
	int64_t cut_until = 0;
	/* Bytes were lost: the connection is as good as broken. */
	bool lost = false;
	int64_t next_report = 0;
	std::deque<bytes> inbox;

	std::string life_name() const
	{
		return name + "@" + std::to_string(life);
	}
};

struct record {
	bytes spec{};
	bytes progress{};
	bool cancelled = false;
};

/* One coordinator; a replaced one may go on for a while. */
struct coordinator {
	world *w = nullptr;
	int index = 0;
	wl *core = nullptr;
	uint64_t term = 0;
	bool dead = false;
	std::set<std::string> dirty;
	std::map<std::string, int64_t> heard;
	std::set<std::string> known;
	std::set<std::string> roster_wanted;
	int64_t confirmed = 0;

	~coordinator()
	{
		wl_free(core);
	}
};

struct world {
	std::mt19937 rng;
	int64_t now = 100 * SEC;
	std::vector<worker> workers;
	std::map<std::string, record> store;
	std::set<std::string> roster;
	uint64_t term = 0;
	int64_t store_down_until = 0;
	std::vector<std::unique_ptr<coordinator>> coordinators;
	wl_config *config = nullptr;
	std::set<std::string> done_stored;
	std::map<std::string, std::set<std::string>> done_of_step;
	std::vector<std::string> faults;
	int trouble = 1;

	explicit world(uint32_t seed) : rng(seed)
	{
	}
	~world()
	{
		for (auto &r : store) {
			bytes_clear(&r.second.spec);
			bytes_clear(&r.second.progress);
		}
		wl_config_free(config);
	}
	uint32_t pick(uint32_t n)
	{
		return rng() % n;
	}
	bool chance(uint32_t one_in)
	{
		return trouble > 0 && rng() % one_in == 0;
	}
	void fault(const std::string &what)
	{
		faults.push_back(std::to_string(now / MS) + ": " + what);
	}
	worker *find(const std::string &name)
	{
		for (auto &w : workers) {
			if (w.name == name)
				return &w;
		}
		return nullptr;
	}
	bool store_up() const
	{
		return now >= store_down_until;
	}
	coordinator *lead()
	{
		return coordinators.empty() || coordinators.back()->dead ? nullptr
									  : coordinators.back().get();
	}
};

/* Job, step and index of a task's name. */
static std::string step_of(const std::string &task)
{
	return task.substr(0, task.rfind('.'));
}

static wl_spec *spec_of(world *w, const std::string &task)
{
	static wl_spec spec;

	fields_clear(&wl_spec_fields, &spec);
	auto it = w->store.find(task.substr(0, 16));
	if (it == w->store.end() ||
		!fields_decode(&wl_spec_fields, &spec, it->second.spec.data, it->second.spec.len,
			NULL))
		return nullptr;
	return &spec;
}

static void worker_end(worker &k, const std::string &task, uint32_t how)
{
	const run &r = k.runs[task];

	k.ends.push_back({k.next_end++, task, r.attempt, how});
	k.highest[task] = std::max(k.highest[task], r.attempt);
	k.runs.erase(task);
}

static int used(const worker &k)
{
	int sum = 0;

	for (auto &r : k.runs)
		sum += (int)r.second.step->accelerators;
	return sum;
}

/* A worker is told to start; returns what it answers. */
static uint32_t worker_start(world *w, worker &k, const std::string &task, uint32_t attempt,
	uint64_t term)
{
	static std::map<std::string, wl_step *> steps;
	wl_spec *spec = spec_of(w, task);
	unsigned occurrence = 0, step = 0, index = 0;

	if (term < k.fence)
		return WL_ANSWER_REFUSED_OTHER;
	k.fence = term;
	if (k.runs.count(task) && k.runs[task].attempt == attempt)
		return WL_ANSWER_RUNNING;
	if (attempt <= k.highest[task])
		return WL_ANSWER_REFUSED_OLD;
	if (spec == nullptr) {
		w->fault("start of an unknown task " + task);
		return WL_ANSWER_REFUSED_OTHER;
	}
	sscanf(task.c_str() + 17, "%u.%u.%u", &occurrence, &step, &index);
	for (auto &o : w->workers) {
		if (o.up && o.runs.count(task))
			w->fault("second run of " + task + " on " + k.name + ", also on " + o.name);
	}
	if (w->done_stored.count(task) || (spec->steps[step].gang && w->done_stored.count(step_of(task))))
		w->fault("start of " + task + " after its end was stored");
	for (uint32_t i = 0; i < spec->steps[step].after_len; i++) {
		uint32_t before = spec->steps[step].after[i].step;
		std::string name = task.substr(0, 17) + std::to_string(occurrence) + "." +
				   std::to_string(before);
		size_t need = spec->steps[before].gang ? 1 : spec->steps[before].count;

		if (w->done_of_step[name].size() < need)
			w->fault("start of " + task + " before its turn");
	}
	/* The steps must outlive the decoded copy. */
	static std::vector<std::unique_ptr<wl_step>> kept;
	kept.emplace_back(new wl_step(spec->steps[step]));
	kept.back()->after = nullptr;
	k.runs[task] = run{attempt, (int64_t)spec->steps[step].estimate_ms * MS, false, 0,
		kept.back().get()};
	if (used(k) > 8)
		w->fault("worker " + k.name + " over its capacity by " + task);
	return WL_ANSWER_RUNNING;
}

static void to_agent(coordinator *c, const char *node, wl_msg m)
{
	worker *k = c->w->find(node);

	if (k == nullptr || k->follows != c->index)
		return;
	if (c->w->now >= k->cut_until && !k->lost)
		k->inbox.push_back(wl_msg_encode(&m));
	else
		k->lost = true;
}

static void out_start(void *arg, const char *node, const wl_start_order *o)
{
	wl_msg m{};
	m.kind = WL_MSG_START;
	m.start = *o;
	to_agent((coordinator *)arg, node, m);
}
static void out_stop(void *arg, const char *node, const wl_stop_order *o)
{
	wl_msg m{};
	m.kind = WL_MSG_STOP;
	m.stop = *o;
	to_agent((coordinator *)arg, node, m);
}
static void out_pace(void *, const char *, const wl_pace_order *)
{
}
static void out_dirty(void *arg, const char *id)
{
	((coordinator *)arg)->dirty.insert(id);
}

/* The store's side of a coordinator: records are written while the term stands. */
static void write_records(world *w, coordinator *c)
{
	if (!w->store_up())
		return;
	if (w->term != c->term) {
		c->dead = true;
		return;
	}
	c->confirmed = w->now;
	for (auto &n : c->roster_wanted)
		w->roster.insert(n);
	c->roster_wanted.clear();
	std::set<std::string> batch;
	batch.swap(c->dirty);
	for (auto &id : batch) {
		uint64_t version = 0;
		bytes b = wl_job_progress(c->core, id.c_str(), &version);
		wl_progress p{};

		bytes_clear(&w->store[id].progress);
		w->store[id].progress = b;
		fields_decode(&wl_progress_fields, &p, b.data, b.len, NULL);
		for (uint32_t i = 0; i < p.marks_len; i++) {
			const wl_mark &m = p.marks[i];
			std::string name = id + "." + std::to_string(m.occurrence) + "." +
					   std::to_string(m.step);

			if (m.done && m.index != WL_INDEX_GANG)
				name += "." + std::to_string(m.index);
			if (m.done)
				w->done_stored.insert(name);
		}
		fields_clear(&wl_progress_fields, &p);
		/* The answer may be lost: the record stands, and is written again. */
		if (w->chance(6))
			c->dirty.insert(id);
		else
			wl_job_stored(c->core, w->now, id.c_str(), version);
	}
}

/* A new coordinator: the next term, the roster, the records. */
static void elect(world *w)
{
	wl_limits limits{};
	wl_callbacks out{};
	auto c = std::make_unique<coordinator>();

	if (!w->store_up())
		return;
	limits.stop_max = 500 * MS;
	limits.gang_wait = 3 * SEC;
	limits.remote_penalty = 3;
	limits.reclaim_max = 3 * SEC;
	limits.restore = 500 * MS;
	limits.silence_max = AUTHORITY + HOLD + 500 * MS;
	limits.retention = 1000 * SEC;
	c->w = w;
	c->index = (int)w->coordinators.size();
	c->term = ++w->term;
	c->confirmed = w->now;
	out.start = out_start;
	out.stop = out_stop;
	out.pace = out_pace;
	out.dirty = out_dirty;
	out.arg = c.get();
	c->core = wl_new(c->term, &limits, &out);
	wl_set_config(c->core, w->config);
	for (auto &n : w->roster)
		wl_node_await_report(c->core, w->now, n.c_str());
	w->coordinators.push_back(std::move(c));
}

/* Let a coordinator see what the store has that it has not read. */
static void read_jobs(world *w, coordinator *c)
{
	for (auto &r : w->store) {
		if (!c->known.count(r.first)) {
			wl_spec spec{};
			wl_progress p{};
			bool has = r.second.progress.data != nullptr;

			fields_decode(&wl_spec_fields, &spec, r.second.spec.data, r.second.spec.len,
				NULL);
			if (has)
				fields_decode(&wl_progress_fields, &p, r.second.progress.data,
					r.second.progress.len, NULL);
			wl_job_add(c->core, w->now, w->now, &spec, has ? &p : NULL);
			fields_clear(&wl_spec_fields, &spec);
			fields_clear(&wl_progress_fields, &p);
			c->known.insert(r.first);
		}
		if (r.second.cancelled)
			wl_job_cancel(c->core, w->now, w->now, r.first.c_str());
	}
}

/* The agent of a worker reports, and gets authority with the answer. */
static void report(world *w, worker &k)
{
	coordinator *c = k.follows >= 0 ? w->coordinators[(size_t)k.follows].get() : nullptr;
	std::vector<wl_run> runs;
	std::vector<wl_ended> ends;
	wl_report r{};
	std::string life = k.life_name();
	std::string rack = "r" + std::to_string(k.name.back() % 2);

	if (c == nullptr || c->dead || !k.up || w->now < k.cut_until || k.term != c->term)
		return;
	k.fence = std::max(k.fence, k.term);
	for (size_t i = k.ends.size(); i > 0; i--) {
		if (k.ends[i - 1].number <= k.stored)
			k.ends.erase(k.ends.begin() + (long)i - 1);
	}
	for (auto &e : k.runs) {
		wl_run one{};
		one.task = (char *)e.first.c_str();
		one.attempt = e.second.attempt;
		one.percent = (uint32_t)(w->now / TICK % 100);
		runs.push_back(one);
	}
	for (auto &e : k.ends) {
		wl_ended one{};
		one.number = e.number;
		one.task = (char *)e.task.c_str();
		one.attempt = e.attempt;
		one.how = e.how;
		ends.push_back(one);
	}
	r.term = k.term;
	r.node = (char *)k.name.c_str();
	r.life = (char *)life.c_str();
	r.service = (char *)"s";
	r.rack = (char *)rack.c_str();
	r.cores_m = 32000;
	r.memory_mb = 64000;
	r.accelerators = 8;
	r.covers = k.last_ordinal;
	r.runs = runs.data();
	r.runs_len = (uint32_t)runs.size();
	r.ends = ends.data();
	r.ends_len = (uint32_t)ends.size();
	k.authority = c->confirmed + AUTHORITY;
	c->heard[k.name] = w->now;
	if (w->roster.count(k.name))
		wl_node_report(c->core, w->now, w->now, &r);
	else
		c->roster_wanted.insert(k.name);
	const char *which;
	uint64_t number;
	if (wl_node_ends_stored(c->core, k.name.c_str(), &which, &number) && life == which)
		k.stored = std::max(k.stored, number);
}

/* The agent carries out the orders that have come. */
static void deliver(world *w, worker &k)
{
	coordinator *c = k.follows >= 0 ? w->coordinators[(size_t)k.follows].get() : nullptr;

	while (!k.inbox.empty()) {
		bytes b = k.inbox.front();
		wl_msg m{};

		k.inbox.pop_front();
		wl_msg_decode(&m, b.data, b.len, NULL);
		bytes_clear(&b);
		bool ours = k.up && m.start.term == k.term;
		if (m.kind == WL_MSG_START) {
			for (uint32_t i = 0; i < m.start.starts_len; i++) {
				const wl_start &s = m.start.starts[i];
				wl_answer_note note{};
				uint32_t answer = WL_ANSWER_REFUSED_OTHER;

				k.last_ordinal = std::max(k.last_ordinal, s.ordinal);
				if (ours && w->now < k.authority && k.life_name() == m.start.life &&
					!w->chance(12))
					answer = worker_start(w, k, s.task, s.attempt, k.term);
				note.term = m.start.term;
				note.life = m.start.life;
				note.ordinal = s.ordinal;
				note.task = s.task;
				note.attempt = s.attempt;
				note.answer = answer;
				if (c != nullptr && !c->dead && w->now >= k.cut_until)
					wl_node_answer(c->core, w->now, &note);
			}
		} else if (m.kind == WL_MSG_STOP && ours && k.life_name() == m.stop.life &&
			   k.term >= k.fence) {
			auto it = k.runs.find(m.stop.task);

			if (it != k.runs.end() && it->second.attempt <= m.stop.attempt &&
				!it->second.stopping) {
				it->second.stopping = true;
				it->second.stop_at = w->now + 400 * MS;
			}
			k.highest[m.stop.task] = std::max(k.highest[m.stop.task], m.stop.attempt);
			if (m.stop.ordinal != 0 && !k.runs.count(m.stop.task) && c != nullptr &&
				!c->dead && w->now >= k.cut_until) {
				wl_answer_note note{};

				note.term = m.stop.term;
				note.life = m.stop.life;
				note.ordinal = m.stop.ordinal;
				note.task = m.stop.task;
				note.attempt = m.stop.attempt;
				note.answer = WL_ANSWER_REFUSED_OTHER;
				wl_node_answer(c->core, w->now, &note);
			}
		}
		wl_msg_clear(&m);
	}
}

/* Whether all members of a run's gang are there. */
static bool gang_whole(world *w, const std::string &task, const run &r)
{
	uint32_t members = 0;

	if (!r.step->gang)
		return true;
	for (auto &k : w->workers) {
		for (auto &e : k.runs)
			members += k.up && step_of(e.first) == step_of(task) &&
				   e.second.attempt == r.attempt;
	}
	return members == r.step->count;
}

/* Time passes on a worker. */
static void work(world *w, worker &k)
{
	std::vector<std::string> names;

	if (!k.up)
		return;
	if (w->now < k.authority)
		k.lease = w->now + HOLD;
	for (auto &e : k.runs)
		names.push_back(e.first);
	for (auto &n : names) {
		if (!k.runs.count(n))
			continue;
		run &r = k.runs[n];

		if (w->now >= k.lease) {
			worker_end(k, n, WL_END_LAPSED);
		} else if (r.stopping && w->now >= r.stop_at) {
			worker_end(k, n, WL_END_STOPPED);
		} else if (!r.stopping && gang_whole(w, n, r)) {
			r.left -= TICK;
			if (r.left > 0)
				continue;
			if (w->chance(15)) {
				worker_end(k, n, WL_END_FAILED);
				continue;
			}
			w->done_of_step[step_of(n)].insert(r.step->gang ? "gang" : n);
			bool gang = r.step->gang;
			uint32_t attempt = r.attempt;
			worker_end(k, n, WL_END_DONE);
			for (auto &o : w->workers) {
				std::vector<std::string> rest;

				for (auto &e : o.runs) {
					if (gang && step_of(e.first) == step_of(n) &&
						e.second.attempt == attempt)
						rest.push_back(e.first);
				}
				for (auto &m : rest)
					worker_end(o, m, WL_END_DONE);
			}
		}
	}
}

static void crash(world *w, worker &k, int64_t dark)
{
	k.runs.clear();
	k.ends.clear();
	k.highest.clear();
	k.next_end = 1;
	k.stored = 0;
	k.fence = 0;
	k.life++;
	k.cut_until = w->now + dark;
	k.follows = -1;
	for (auto &b : k.inbox)
		bytes_clear(&b);
	k.inbox.clear();
}

/* Agents find the coordinator; a stale one is left only when its term is old. */
static void follow(world *w, worker &k)
{
	coordinator *l = w->lead();

	if (l == nullptr || w->now < k.cut_until)
		return;
	if (k.follows == l->index) {
		if (k.lost)
			k.last_ordinal = wl_last_ordinal(l->core);
		k.lost = false;
		return;
	}
	if (k.follows >= 0 && !w->coordinators[(size_t)k.follows]->dead && w->pick(20) != 0)
		return;
	if (k.follows >= 0 && !w->coordinators[(size_t)k.follows]->dead)
		wl_node_unreachable(w->coordinators[(size_t)k.follows]->core, w->now, k.name.c_str());
	for (auto &b : k.inbox)
		bytes_clear(&b);
	k.inbox.clear();
	k.lost = false;
	k.follows = l->index;
	k.term = l->term;
	k.last_ordinal = wl_last_ordinal(l->core);
}

static void trouble(world *w)
{
	worker &k = w->workers[w->pick(WORKERS)];

	if (w->chance(60))
		k.cut_until = w->now + (int64_t)w->pick(160) * TICK;
	if (w->chance(120))
		crash(w, k, (int64_t)w->pick(60) * TICK);
	if (w->chance(200))
		w->store_down_until = w->now + (int64_t)w->pick(120) * TICK;
	if (w->chance(150) && w->lead() != nullptr) {
		/* Killed, or only replaced: then it goes on until the store tells it. */
		if (w->pick(2) == 0)
			w->lead()->dead = true;
		elect(w);
	}
}

static void submit(world *w, uint32_t number, bool wide)
{
	char id[17];
	wl_spec spec{};
	wl_step steps[2]{};
	wl_step_ref first{0};

	snprintf(id, sizeof(id), "%016x", number + 1);
	for (wl_step &s : steps) {
		s.count = 1 + w->pick(wide ? 6 : 3);
		s.accelerators = 1u << w->pick(4);
		s.cores_m = 1000;
		s.memory_mb = 100;
		s.estimate_ms = 200 + w->pick(3000);
		s.gang = w->pick(3) == 0 && s.count * s.accelerators <= 24;
		s.checkpoints = w->pick(2) == 0;
		s.rack_local = w->pick(4) == 0;
	}
	steps[1].after = &first;
	steps[1].after_len = 1;
	spec.id = id;
	spec.queue = (char *)(w->pick(2) ? "urgent" : "batch");
	spec.service = (char *)"s";
	spec.org = (char *)"o";
	spec.payload = (char *)"p";
	spec.steps = steps;
	spec.steps_len = 1 + w->pick(2);
	w->store[id].spec = fields_encode(&wl_spec_fields, &spec);
}

static wl_queue *queue_new(const char *name, uint32_t priority)
{
	wl_queue *q = (wl_queue *)xcalloc(1, sizeof(*q));

	q->name = xstrdup(name);
	q->host = xstrdup("h");
	q->prefix = xstrdup("/");
	q->service = xstrdup("s");
	q->priority = priority;
	q->attempts_max = 1000;
	q->stretch = priority == 0 ? 1.5 : 3;
	q->target_ms = 250;
	return q;
}

static void tick(world *w)
{
	w->now += TICK;
	trouble(w);
	if (w->lead() == nullptr)
		elect(w);
	for (auto &c : w->coordinators) {
		if (c->dead)
			continue;
		if (w->store_up() && w->term == c->term)
			read_jobs(w, c.get());
		for (auto &h : c->heard) {
			if (w->now - h.second > 3 * SEC)
				wl_node_unreachable(c->core, w->now, h.first.c_str());
		}
		GPtrArray *gone = wl_nodes_expired(c->core, w->now);
		for (guint i = 0; i < gone->len; i++) {
			if (w->term == c->term)
				w->roster.erase((char *)gone->pdata[i]);
		}
		g_ptr_array_unref(gone);
		if (w->now - c->confirmed < 3 * SEC)
			wl_pass(c->core, w->now, w->now);
		write_records(w, c.get());
	}
	for (auto &k : w->workers) {
		follow(w, k);
		deliver(w, k);
		work(w, k);
		if (w->now >= k.next_report) {
			k.next_report = w->now + (int64_t)w->pick(12) * TICK;
			report(w, k);
		}
	}
}

static bool all_ended(world *w)
{
	for (auto &r : w->store) {
		wl_progress p{};

		if (r.second.progress.data == nullptr)
			return false;
		fields_decode(&wl_progress_fields, &p, r.second.progress.data,
			r.second.progress.len, NULL);
		bool ended = wl_state_ended(p.state);
		fields_clear(&wl_progress_fields, &p);
		if (!ended)
			return false;
	}
	return true;
}

/* What is left, for the report of a failure. */
static std::string open_jobs(world *w)
{
	std::string out;

	for (auto &r : w->store) {
		wl_progress p{};
		wl_spec s{};

		fields_decode(&wl_progress_fields, &p, r.second.progress.data,
			r.second.progress.len, NULL);
		fields_decode(&wl_spec_fields, &s, r.second.spec.data, r.second.spec.len, NULL);
		if (!wl_state_ended(p.state)) {
			out += r.first + " " + wl_state_name(p.state);
			for (uint32_t i = 0; i < s.steps_len; i++)
				out += " step(n=" + std::to_string(s.steps[i].count) +
				       " a=" + std::to_string(s.steps[i].accelerators) +
				       " gang=" + std::to_string(s.steps[i].gang) +
				       " rack=" + std::to_string(s.steps[i].rack_local) + ")";
			for (uint32_t i = 0; i < p.marks_len; i++)
				out += " mark(" + std::to_string(p.marks[i].step) + "," +
				       std::to_string(p.marks[i].index) +
				       " done=" + std::to_string(p.marks[i].done) + " at " +
				       (p.marks[i].node ? p.marks[i].node : "-") + ")";
			out += "; ";
		}
		fields_clear(&wl_progress_fields, &p);
		fields_clear(&wl_spec_fields, &s);
	}
	for (auto &k : w->workers) {
		out += k.name + ":";
		for (auto &e : k.runs)
			out += " " + e.first + "/" + std::to_string(e.second.attempt);
	}
	return out;
}

static void play(uint32_t seed)
{
	world w(seed);
	wl_org *org = (wl_org *)xcalloc(1, sizeof(*org));

	org->name = xstrdup("o");
	org->keys = g_ptr_array_new_with_free_func(free);
	org->guaranteed = 16;
	w.config = wl_config_new();
	wl_config_add_queue(w.config, queue_new("urgent", 0));
	wl_config_add_queue(w.config, queue_new("batch", 2));
	wl_config_add_org(w.config, org);
	for (int i = 0; i < WORKERS; i++) {
		w.workers.emplace_back();
		w.workers.back().name = "w" + std::to_string(i);
	}
	uint32_t jobs = 0;
	for (int t = 0; t < 800; t++) {
		if (jobs < 14 && t % 30 == 0)
			submit(&w, jobs++, w.pick(3) == 0);
		if (w.chance(300) && jobs > 0)
			std::next(w.store.begin(), w.pick((uint32_t)w.store.size()))
				->second.cancelled = true;
		tick(&w);
	}
	w.trouble = 0;
	w.store_down_until = 0;
	for (auto &k : w.workers)
		k.cut_until = 0;
	for (int t = 0; t < 3000 && !all_ended(&w); t++)
		tick(&w);
	if (!all_ended(&w))
		w.fault("not all jobs have ended: " + open_jobs(&w));
	for (auto &k : w.workers) {
		for (auto &b : k.inbox)
			bytes_clear(&b);
	}
	for (auto &f : w.faults)
		RC_LOG() << f << "\n";
	RC_ASSERT(w.faults.empty());
}

} // namespace

void prop_workload()
{
	prop("workload: no task runs twice, over capacity, before its turn or after its end",
		[] { play(*rc::gen::inRange<uint32_t>(0, UINT32_MAX)); });
}
