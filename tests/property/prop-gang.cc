#include "prop.h"

extern "C" {
#include "agent-core.h"
}

#include <cstring>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/*
 * Model test of the coordinator and the agents of a small cell: both run unmodified over a
 * simulated network under random events. Messages are delivered one by one, connections break
 * and lose the messages in transit, agents restart, jobs are cancelled, and coordinators crash
 * and are replaced by one with a higher term, so that answers to the entry are lost. Store
 * writes fail or take effect without a reply; the store keeps the job records and the roster,
 * the list of agents that coord_roster() returns.
 */

static const int64_t SEC = NSEC_PER_SEC;
static const peer_id ENTRY_PEER = 1;
static const int AGENT_COUNT = 4;

struct cell;

/* One agent with its connection to the coordinator. */
struct node {
	cell *parent = nullptr;
	int index = 0;
	agent_core *core = nullptr;
	uint64_t incarnation = 0;
	peer_id peer = 0;
	bool partitioned = false;
	std::deque<bytes> to_agent, to_coord;
	std::map<std::string, uint32_t> running;
};

struct seen_answer {
	uint32_t outcome = OUTCOME_NONE;
	bool not_run = false;
};

struct cell {
	int64_t now = SEC;
	coord *coordinator = nullptr;
	uint64_t term = 0;
	peer_id next_peer = 10;
	uint64_t next_incarnation = 1;
	node nodes[AGENT_COUNT];
	std::string roster; /* as stored; see coord_roster() */
	std::map<std::string, job_record *> store;
	std::map<std::string, job_spec *> open_jobs;
	std::map<std::string, uint64_t> submitted_term;
	std::map<std::string, seen_answer> answers;
	std::map<std::string, std::set<uint32_t>> started_attempts;
	std::map<std::string, int> member_starts;
	std::set<std::string> started_members;
	std::map<std::string, bool> retry_allowed;
	doc *document = nullptr;
	int jobs_submitted = 0;
	std::string violation;
};

static bytes encode(const msg *m)
{
	return msg_encode(m);
}

/* Callbacks of an agent. */
static void agent_port_send(void *arg, const msg *m)
{
	node *n = (node *)arg;

	if (n->peer != 0)
		n->to_coord.push_back(encode(m));
}

static node *node_by_addr(cell *c, const char *addr)
{
	return &c->nodes[atoi(addr + 1) % AGENT_COUNT];
}

static void agent_port_gang_beat(void *arg, const char *addr, const msg *m)
{
	node *n = (node *)arg;
	node *to = node_by_addr(n->parent, addr);
	/* Address "rN" of this agent for the reply; "aN" is its address for other messages. */
	char reply_addr[8];

	if (n->partitioned || to->partitioned)
		return;
	snprintf(reply_addr, sizeof(reply_addr), "r%d", n->index);
	/* A message to an address for replies is itself a reply. */
	if (addr[0] == 'r')
		agent_core_gang_beat_reply(to->core, n->parent->now, &m->gang_beat);
	else
		agent_core_gang_beat(to->core, n->parent->now, &m->gang_beat, reply_addr);
}

static void agent_port_start(void *arg, const agent_member *m)
{
	node *n = (node *)arg;
	std::string id = m->record.spec.id;

	std::string member = id + "/" + std::to_string(m->record.attempt) + "/" +
			     std::to_string(m->record.member);

	if (!n->parent->started_members.insert(member).second)
		n->parent->violation = "member " + member + " was started twice in one attempt";
	n->running[id] = m->record.attempt;
	n->parent->started_attempts[id].insert(m->record.attempt);
	n->parent->member_starts[id + "/" + std::to_string(m->record.attempt)]++;
	if (!n->parent->retry_allowed[id] && n->parent->started_attempts[id].size() > 1)
		n->parent->violation = "job " + id + " was started in two attempts";
	if (n->parent->answers.count(id) && n->parent->answers[id].not_run)
		n->parent->violation =
			"job " + id + " was started after it was reported as not run";
}

/*
 * Ends the member of a job on a node. The upstream is assumed to report truthfully: a member
 * reported as never started has not run, so its start is no longer counted.
 */
static void end_task(node *n, std::string id, member_end end)
{
	uint32_t attempt = n->running[id];
	job_result r = {};

	r.status = 200;
	n->running.erase(id);
	if (end == MEMBER_END_NEVER_STARTED)
		n->parent->member_starts[id + "/" + std::to_string(attempt)]--;
	if (n->parent->member_starts[id + "/" + std::to_string(attempt)] == 0)
		n->parent->started_attempts[id].erase(attempt);
	agent_core_task_ended(n->core, n->parent->now, id.c_str(), attempt, end, &r);
}

static void agent_port_stop(void *arg, const agent_member *m, enum stop_mode mode)
{
	node *n = (node *)arg;
	std::string id = m->record.spec.id;

	(void)mode;
	if (n->running.count(id) && n->running[id] == m->record.attempt)
		end_task(n, id, MEMBER_END_STOPPED);
}

/* Checks and records the final answer for a job that the entry receives. */
static void on_answer(cell *c, const msg *m)
{
	std::string id = m->answer.job;

	if (m->answer.accepted_only)
		return;
	if (m->answer.result.not_run && !c->started_attempts[id].empty())
		c->violation = "job " + id + " was reported as not run after it had started";
	c->answers[id] = {m->answer.result.outcome, m->answer.result.not_run};
	auto it = c->open_jobs.find(id);
	if (it != c->open_jobs.end()) {
		fields_clear(&job_spec_fields, it->second);
		free(it->second);
		c->open_jobs.erase(it);
	}
}

/* Callbacks of the coordinator. */
static bool coord_port_send(void *arg, peer_id peer, const msg *m)
{
	cell *c = (cell *)arg;

	if (peer == ENTRY_PEER) {
		if (m->kind == MSG_ANSWER)
			on_answer(c, m);
		return true;
	}
	for (auto &n : c->nodes) {
		if (n.peer == peer) {
			n.to_agent.push_back(encode(m));
			return true;
		}
	}
	return false;
}

static void clear_queue(std::deque<bytes> &q)
{
	for (auto &b : q)
		bytes_clear(&b);
	q.clear();
}

/* Breaks a connection; the messages in transit are lost. */
static void disconnect(cell *c, node *n)
{
	peer_id peer = n->peer;

	if (peer == 0)
		return;
	n->peer = 0;
	clear_queue(n->to_agent);
	clear_queue(n->to_coord);
	agent_core_lost_coordinator(n->core);
	if (c->coordinator != nullptr)
		coord_peer_closed(c->coordinator, c->now, peer);
}

static void coord_port_close(void *arg, peer_id peer)
{
	cell *c = (cell *)arg;

	for (auto &n : c->nodes) {
		if (n.peer != peer)
			continue;
		n.peer = 0;
		clear_queue(n.to_agent);
		clear_queue(n.to_coord);
		agent_core_lost_coordinator(n.core);
	}
}

static void start_node(cell *c, node *n)
{
	agent_ports ports = {
		agent_port_send, agent_port_gang_beat, agent_port_start, agent_port_stop, n};
	agent_upstream u = {};
	std::string worker = "w" + std::to_string(n->index),
		    rack = "r" + std::to_string(n->index / 2);

	n->parent = c;
	n->incarnation = c->next_incarnation++;
	n->core = agent_core_new(&ports);
	n->running.clear();
	u.expires = INT64_MAX;
	u.addr = (char *)"u";
	u.worker = (char *)worker.c_str();
	u.rack = (char *)rack.c_str();
	u.zone = (char *)"z";
	u.accelerators = u.slots = u.connections = 8;
	u.cores = 32;
	u.memory_mb = 65536;
	agent_core_upstream_announced(n->core, c->now, &u);
}

static void connect_node(cell *c, node *n)
{
	std::string name = "n" + std::to_string(n->index),
		    addr = "a" + std::to_string(n->index);
	msg_hello h = {};

	if (n->peer != 0 || c->coordinator == nullptr || n->partitioned)
		return;
	n->peer = c->next_peer++;
	h.role = ROLE_AGENT;
	h.name = (char *)name.c_str();
	h.addr = (char *)addr.c_str();
	h.incarnation = n->incarnation;
	coord_hello(c->coordinator, c->now, n->peer, &h);
}

/* Submits an open job of the entry to the coordinator, for the first time or again. */
static void submit_job(cell *c, const std::string &id)
{
	msg m = {};

	if (c->coordinator == nullptr)
		return;
	m.kind = MSG_SUBMIT;
	m.submit.spec = *c->open_jobs[id];
	m.submit.resubmitted = c->submitted_term.count(id) > 0;
	m.submit.last_term = c->submitted_term[id];
	m.submit.wait = true;
	c->submitted_term[id] = c->term;
	coord_message(c->coordinator, c->now, ENTRY_PEER, &m);
}

static void start_coord(cell *c)
{
	coord_ports ports = {coord_port_send, coord_port_close, c};
	msg_hello h = {};
	GPtrArray *records = g_ptr_array_new();

	c->coordinator = coord_new("c", &ports);
	c->term++;
	for (auto &r : c->store)
		g_ptr_array_add(records, r.second);
	coord_start_term(c->coordinator, c->now, c->now, c->term, c->roster.c_str(), records,
		c->document);
	g_ptr_array_unref(records);
	h.role = ROLE_ENTRY;
	h.name = (char *)"e";
	coord_hello(c->coordinator, c->now, ENTRY_PEER, &h);
	std::vector<std::string> ids;
	for (auto &o : c->open_jobs)
		ids.push_back(o.first);
	for (auto &id : ids)
		submit_job(c, id);
}

static void stop_coord(cell *c)
{
	for (auto &n : c->nodes) {
		n.peer = 0;
		clear_queue(n.to_agent);
		clear_queue(n.to_coord);
		agent_core_lost_coordinator(n.core);
	}
	coord_free(c->coordinator);
	c->coordinator = nullptr;
}

/* Delivers the oldest message of a connection in one direction. */
static void deliver_next(cell *c, node *n, bool to_agent)
{
	auto &q = to_agent ? n->to_agent : n->to_coord;
	msg m;

	if (q.empty() || n->partitioned)
		return;
	bytes b = q.front();
	q.pop_front();
	if (msg_decode(&m, b.data, b.len, nullptr)) {
		if (!to_agent)
			coord_message(c->coordinator, c->now, n->peer, &m);
		else if (m.kind == MSG_WELCOME)
			agent_core_adopt_term(n->core, c->now, m.welcome.term);
		else
			agent_core_message(n->core, c->now, &m);
		msg_clear(&m);
	}
	bytes_clear(&b);
}

/* Processes the writes of the coordinator. With reply_lost they succeed without a reply. */
static void process_store_writes(cell *c, bool fails, bool reply_lost)
{
	coord_batch b;

	if (c->coordinator == nullptr)
		return;
	if (coord_roster_changed(c->coordinator) && !fails) {
		g_autofree char *r = coord_roster(c->coordinator);

		c->roster = r;
		if (!reply_lost)
			coord_roster_saved(c->coordinator, r);
	}
	if (!coord_take_batch(c->coordinator, &b))
		return;
	for (size_t i = 0; !fails && i < b.len; i++) {
		job_record *copy = (job_record *)xcalloc(1, sizeof(*copy));

		fields_copy(&job_record_fields, copy, &b.writes[i].record);
		if (c->store.count(b.ids[i]))
			job_record_free(c->store[b.ids[i]]);
		c->store[b.ids[i]] = copy;
	}
	coord_batch_done(c->coordinator, c->now, &b, !fails && !reply_lost);
	coord_batch_clear(&b);
}

static void advance_time(cell *c, int64_t ns)
{
	c->now += ns;
	for (auto &n : c->nodes) {
		agent_core_tick(n.core, c->now);
		if (n.peer != 0 && !n.partitioned) {
			msg m = {};

			m.kind = MSG_BEAT;
			m.beat.term = agent_core_term(n.core);
			agent_port_send(&n, &m);
		}
	}
	if (c->coordinator != nullptr)
		coord_tick(c->coordinator, c->now, c->now);
}

static void add_job(cell *c, uint32_t r)
{
	static const uint32_t accelerator_counts[] = {1, 2, 8, 16, 16, 24};
	job_spec *s = (job_spec *)xcalloc(1, sizeof(*s));

	xasprintf(&s->id, "c~%d", c->jobs_submitted++);
	s->org = xstrdup(r & 1 ? "a" : "b");
	s->fingerprint = xstrdup("f");
	s->accelerators = accelerator_counts[(r >> 1) % 6];
	s->adjacency = s->accelerators > 16 ? ADJACENCY_ANY : ADJACENCY_RACK;
	s->idempotent = (r >> 4 & 3) == 0;
	s->durable = (r >> 6 & 3) == 0;
	s->submitted_wall_ms = c->now / NSEC_PER_MSEC;
	c->retry_allowed[s->id] = s->idempotent;
	c->open_jobs[s->id] = s;
	submit_job(c, s->id);
}

/* Cancels one of the open jobs. */
static void cancel_random_job(cell *c, uint32_t x)
{
	msg m = {};

	if (c->coordinator == nullptr || c->open_jobs.empty())
		return;
	auto it = c->open_jobs.begin();
	std::advance(it, x % c->open_jobs.size());
	std::string id = it->first;
	m.kind = MSG_CANCEL;
	m.cancel.job = (char *)id.c_str();
	coord_message(c->coordinator, c->now, ENTRY_PEER, &m);
}

/*
 * Simulates a typical takeover: all agents reach the next coordinator within a few ticks, and
 * tasks end and agents restart while it still collects their inventories.
 */
static void take_over(cell *c, uint32_t x)
{
	if (c->coordinator != nullptr)
		stop_coord(c);
	start_coord(c);
	for (int i = 0; i < 8; i++, x /= 4) {
		node *n = &c->nodes[i % AGENT_COUNT];

		connect_node(c, n);
		for (int k = 0; k < 6; k++) {
			deliver_next(c, n, true);
			deliver_next(c, n, false);
		}
		if (x % 4 == 1 && !n->running.empty())
			end_task(n, n->running.begin()->first, MEMBER_END_DONE);
		if (x % 4 == 2)
			disconnect(c, n);
		if (x % 16 == 3) {
			disconnect(c, n);
			agent_core_free(n->core);
			start_node(c, n);
		}
		advance_time(c, SEC / 4);
	}
}

/* Applies one random event. */
static void random_event(cell *c, uint32_t r)
{
	node *n = &c->nodes[r / 64 % AGENT_COUNT];
	uint32_t x = r / 256;

	switch (r % 64) {
	case 0:
	case 1:
		add_job(c, x);
		break;
	case 2:
		if (c->coordinator != nullptr)
			stop_coord(c);
		break;
	case 3:
		disconnect(c, n);
		break;
	case 4:
		disconnect(c, n);
		agent_core_free(n->core);
		start_node(c, n);
		break;
	case 5:
		n->partitioned = !n->partitioned;
		break;
	case 6:
	case 7:
	case 8:
		if (!n->running.empty())
			end_task(n, n->running.begin()->first,
				x % 8 == 0   ? MEMBER_END_FAILED
				: x % 8 == 1 ? MEMBER_END_UNKNOWN
				: x % 8 == 2 ? MEMBER_END_NEVER_STARTED
					     : MEMBER_END_DONE);
		break;
	case 9:
		process_store_writes(c, x % 4 == 0, x % 4 == 1);
		break;
	case 10:
		advance_time(c, (int64_t)(x % 60) * SEC / 10);
		break;
	case 11:
		advance_time(c, SEC / 2);
		break;
	case 12:
		if (c->coordinator == nullptr)
			start_coord(c);
		break;
	case 13:
		connect_node(c, n);
		break;
	case 14:
		take_over(c, x);
		break;
	case 15:
		cancel_random_job(c, x);
		break;
	default:
		deliver_next(c, n, x & 1);
		break;
	}
}

/* Creates a cell with a configuration, all agents and a coordinator. */
static cell *new_cell()
{
	static const char cluster[] =
		"grace: 1s\ncells: {c: {workers: 4, workers_per_rack: 2, accelerators: 8}}\n"
		"classes: {now: {priority: 0}}\n";
	static const char team[] = "organisations: {a: {guarantees: [{accelerators: 8, within: "
				   "worker}]}, b: {}}\n";
	doc_problems problems = STAILQ_HEAD_INITIALIZER(problems);
	doc_section sections[] = {{(char *)"cluster", (char *)cluster, 1, 1, 0},
		{(char *)"teams/t", (char *)team, 2, 1, 0}};
	cell *c = new cell;

	c->document = doc_parse_sections(sections, 2, &problems);
	c->document->number = 1;
	for (int i = 0; i < AGENT_COUNT; i++) {
		c->nodes[i].index = i;
		start_node(c, &c->nodes[i]);
	}
	start_coord(c);
	return c;
}

static void free_cell(cell *c)
{
	if (c->coordinator != nullptr)
		stop_coord(c);
	for (auto &n : c->nodes) {
		clear_queue(n.to_agent);
		clear_queue(n.to_coord);
		agent_core_free(n.core);
	}
	for (auto &r : c->store)
		job_record_free(r.second);
	for (auto &o : c->open_jobs) {
		fields_clear(&job_spec_fields, o.second);
		free(o.second);
	}
	doc_free(c->document);
	delete c;
}

/* Runs without faults until all jobs are answered, or for at most 600 rounds. */
static void drain(cell *c)
{
	if (c->coordinator == nullptr)
		start_coord(c);
	for (int round = 0; round < 600 && (!c->open_jobs.empty() || round < 30); round++) {
		for (auto &n : c->nodes) {
			n.partitioned = false;
			connect_node(c, &n);
		}
		for (int i = 0; i < 40; i++) {
			for (auto &n : c->nodes) {
				deliver_next(c, &n, true);
				if (c->coordinator != nullptr)
					deliver_next(c, &n, false);
			}
		}
		process_store_writes(c, false, false);
		for (auto &n : c->nodes) {
			std::vector<std::string> ids;

			for (auto &t : n.running)
				ids.push_back(t.first);
			for (auto &id : ids)
				end_task(&n, id, MEMBER_END_DONE);
		}
		advance_time(c, SEC / 4);
	}
}

/*
 * Only an idempotent job is started in two attempts, no member is started twice in one, a job
 * reported as not run has not started, and every job gets an answer.
 */
static void invariants_hold()
{
	auto events =
		*rc::gen::container<std::vector<uint32_t>>(rc::gen::arbitrary<uint32_t>());
	/* Further events, with numbers below 2^20. */
	auto small_events = *rc::gen::container<std::vector<uint32_t>>(
		rc::gen::inRange<uint32_t>(0, 1u << 20));
	cell *c = new_cell();

	for (int i = 0; i < 14; i++) {
		for (auto &n : c->nodes)
			connect_node(c, &n);
		for (auto &n : c->nodes) {
			for (int k = 0; k < 8; k++) {
				deliver_next(c, &n, true);
				deliver_next(c, &n, false);
			}
		}
		process_store_writes(c, false, false);
		advance_time(c, SEC / 4);
	}
	events.insert(events.end(), small_events.begin(), small_events.end());
	for (uint32_t r : events) {
		random_event(c, r);
		if (!c->violation.empty())
			break;
	}
	if (c->violation.empty())
		drain(c);
	std::string violation = c->violation;
	std::string open_job = c->open_jobs.empty() ? "" : c->open_jobs.begin()->first;
	free_cell(c);
	if (!violation.empty())
		RC_FAIL(violation);
	if (!open_job.empty())
		RC_FAIL("job " + open_job + " never got an answer");
}

void prop_gang()
{
	check_property("gang: invariants hold under any order of losses, crashes and takeovers",
		invariants_hold);
}
