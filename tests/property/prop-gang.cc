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
 * The coordinator and the agents of a small cell, unchanged, over a fake network that random
 * events drive: messages are delivered one by one, connections break with what is in them,
 * agents restart, coordinators die and are followed by one with a higher term, answers to the
 * entry are lost. The store keeps the roster and the job records that were written.
 */

static const int64_t SEC = NSEC_PER_SEC;
static const peer_id ENTRY = 1;
static const int AGENTS = 4;

struct cell;

/* One agent with its connection to the coordinator. */
struct node {
	cell *c = nullptr;
	int index = 0;
	agent_core *core = nullptr;
	uint64_t incarnation = 0;
	peer_id peer = 0;
	bool cut = false;
	std::deque<bytes> to_agent, to_coord;
	std::map<std::string, uint32_t> running;
};

struct outcome_seen {
	uint32_t outcome = OUTCOME_NONE;
	bool not_run = false;
};

struct cell {
	int64_t now = SEC;
	coord *co = nullptr;
	uint64_t term = 0;
	peer_id next_peer = 10;
	uint64_t next_incarnation = 1;
	node nodes[AGENTS];
	std::string roster;
	std::map<std::string, job_record *> store;
	std::map<std::string, job_spec *> open;
	std::map<std::string, uint64_t> told_term;
	std::map<std::string, outcome_seen> answers;
	std::map<std::string, std::set<uint32_t>> attempts;
	std::map<std::string, int> members;
	std::set<std::string> begun;
	std::map<std::string, bool> twice_allowed;
	doc *document = nullptr;
	int jobs = 0;
	std::string wrong;
};

static bytes copy_of(const msg *m)
{
	return msg_encode(m);
}

/* Ports of an agent. */
static void node_send(void *arg, const msg *m)
{
	node *n = (node *)arg;

	if (n->peer != 0)
		n->to_coord.push_back(copy_of(m));
}

static node *node_by_addr(cell *c, const char *addr)
{
	return &c->nodes[atoi(addr + 1) % AGENTS];
}

static void node_gang(void *arg, const char *addr, const msg *m)
{
	node *n = (node *)arg;
	node *to = node_by_addr(n->c, addr);
	char reply[8];

	if (n->cut || to->cut)
		return;
	snprintf(reply, sizeof(reply), "r%d", n->index);
	if (addr[0] == 'r')
		agent_core_gang_beat_reply(to->core, n->c->now, &m->gang_beat);
	else
		agent_core_gang_beat(to->core, n->c->now, &m->gang_beat, reply);
}

static void node_start(void *arg, const agent_member *m)
{
	node *n = (node *)arg;
	std::string id = m->record.spec.id;

	std::string what = id + "/" + std::to_string(m->record.attempt) + "/" +
			   std::to_string(m->record.member);

	if (!n->c->begun.insert(what).second)
		n->c->wrong = "member " + what + " was begun twice under one attempt number";
	n->running[id] = m->record.attempt;
	n->c->attempts[id].insert(m->record.attempt);
	n->c->members[id + "/" + std::to_string(m->record.attempt)]++;
	if (!n->c->twice_allowed[id] && n->c->attempts[id].size() > 1)
		n->c->wrong = "job " + id + " was started in two attempts";
	if (n->c->answers.count(id) && n->c->answers[id].not_run)
		n->c->wrong = "job " + id + " was started after it was said not to have run";
}

/* End what a node runs of a job. */
static void end_task(node *n, std::string id, member_end end)
{
	uint32_t attempt = n->running[id];
	job_result r = {};

	r.status = 200;
	n->running.erase(id);
	if (end == MEMBER_END_NEVER_STARTED)
		n->c->members[id + "/" + std::to_string(attempt)]--;
	if (n->c->members[id + "/" + std::to_string(attempt)] == 0)
		n->c->attempts[id].erase(attempt);
	agent_core_task_ended(n->core, n->c->now, id.c_str(), attempt, end, &r);
}

static void node_stop(void *arg, const agent_member *m, enum stop_mode mode)
{
	node *n = (node *)arg;
	std::string id = m->record.spec.id;

	(void)mode;
	if (n->running.count(id) && n->running[id] == m->record.attempt)
		end_task(n, id, MEMBER_END_STOPPED);
}

/* An answer to the entry. */
static void on_answer(cell *c, const msg *m)
{
	std::string id = m->answer.job;

	if (m->answer.accepted_only)
		return;
	if (m->answer.result.not_run && !c->attempts[id].empty())
		c->wrong = "job " + id + " had started and was said not to have run";
	c->answers[id] = {m->answer.result.outcome, m->answer.result.not_run};
	auto it = c->open.find(id);
	if (it != c->open.end()) {
		fields_clear(&job_spec_fields, it->second);
		free(it->second);
		c->open.erase(it);
	}
}

/* Ports of the coordinator. */
static bool coord_port_send(void *arg, peer_id peer, const msg *m)
{
	cell *c = (cell *)arg;

	if (peer == ENTRY) {
		if (m->kind == MSG_ANSWER)
			on_answer(c, m);
		return true;
	}
	for (auto &n : c->nodes) {
		if (n.peer == peer) {
			n.to_agent.push_back(copy_of(m));
			return true;
		}
	}
	return false;
}

static void drop_queue(std::deque<bytes> &q)
{
	for (auto &b : q)
		bytes_clear(&b);
	q.clear();
}

/* A connection breaks with what is in it. */
static void disconnect(cell *c, node *n)
{
	peer_id peer = n->peer;

	if (peer == 0)
		return;
	n->peer = 0;
	drop_queue(n->to_agent);
	drop_queue(n->to_coord);
	agent_core_lost_coordinator(n->core);
	if (c->co != nullptr)
		coord_peer_closed(c->co, c->now, peer);
}

static void coord_port_close(void *arg, peer_id peer)
{
	cell *c = (cell *)arg;

	for (auto &n : c->nodes) {
		if (n.peer != peer)
			continue;
		n.peer = 0;
		drop_queue(n.to_agent);
		drop_queue(n.to_coord);
		agent_core_lost_coordinator(n.core);
	}
}

static void start_node(cell *c, node *n)
{
	agent_ports ports = {node_send, node_gang, node_start, node_stop, n};
	agent_upstream u = {};
	std::string worker = "w" + std::to_string(n->index), rack = "r" + std::to_string(n->index / 2);

	n->c = c;
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
	std::string name = "n" + std::to_string(n->index), addr = "a" + std::to_string(n->index);
	msg_hello h = {};

	if (n->peer != 0 || c->co == nullptr || n->cut)
		return;
	n->peer = c->next_peer++;
	h.role = ROLE_AGENT;
	h.name = (char *)name.c_str();
	h.addr = (char *)addr.c_str();
	h.incarnation = n->incarnation;
	coord_hello(c->co, c->now, n->peer, &h);
}

/* Send what the entry has open to the coordinator. */
static void submit_open(cell *c, const std::string &id)
{
	msg m = {};

	if (c->co == nullptr)
		return;
	m.kind = MSG_SUBMIT;
	m.submit.spec = *c->open[id];
	m.submit.resubmitted = c->told_term.count(id) > 0;
	m.submit.last_term = c->told_term[id];
	m.submit.wait = true;
	c->told_term[id] = c->term;
	coord_message(c->co, c->now, ENTRY, &m);
}

static void start_coord(cell *c)
{
	coord_ports ports = {coord_port_send, coord_port_close, c};
	msg_hello h = {};
	GPtrArray *records = g_ptr_array_new();

	c->co = coord_new("c", &ports);
	c->term++;
	for (auto &r : c->store)
		g_ptr_array_add(records, r.second);
	coord_start_term(c->co, c->now, c->now, c->term, c->roster.c_str(), records, c->document);
	g_ptr_array_unref(records);
	h.role = ROLE_ENTRY;
	h.name = (char *)"e";
	coord_hello(c->co, c->now, ENTRY, &h);
	std::vector<std::string> ids;
	for (auto &o : c->open)
		ids.push_back(o.first);
	for (auto &id : ids)
		submit_open(c, id);
}

static void kill_coord(cell *c)
{
	for (auto &n : c->nodes) {
		n.peer = 0;
		drop_queue(n.to_agent);
		drop_queue(n.to_coord);
		agent_core_lost_coordinator(n.core);
	}
	coord_free(c->co);
	c->co = nullptr;
}

/* Deliver the oldest message of a node's connection in one direction. */
static void deliver(cell *c, node *n, bool to_agent)
{
	auto &q = to_agent ? n->to_agent : n->to_coord;
	msg m;

	if (q.empty() || n->cut)
		return;
	bytes b = q.front();
	q.pop_front();
	if (msg_decode(&m, b.data, b.len, nullptr)) {
		if (!to_agent)
			coord_message(c->co, c->now, n->peer, &m);
		else if (m.kind == MSG_WELCOME)
			agent_core_adopt_term(n->core, c->now, m.welcome.term);
		else
			agent_core_message(n->core, c->now, &m);
		msg_clear(&m);
	}
	bytes_clear(&b);
}

/* Do the store's work for the coordinator; lost: the write took effect, the answer is lost. */
static void store_work(cell *c, bool fails, bool lost)
{
	coord_batch b;

	if (c->co == nullptr)
		return;
	if (coord_roster_changed(c->co) && !fails) {
		g_autofree char *r = coord_roster(c->co);

		c->roster = r;
		if (!lost)
			coord_roster_saved(c->co, r);
	}
	if (!coord_take_batch(c->co, &b))
		return;
	for (size_t i = 0; !fails && i < b.len; i++) {
		job_record *copy = (job_record *)xcalloc(1, sizeof(*copy));

		fields_copy(&job_record_fields, copy, &b.writes[i].record);
		if (c->store.count(b.ids[i]))
			job_record_free(c->store[b.ids[i]]);
		c->store[b.ids[i]] = copy;
	}
	coord_batch_done(c->co, c->now, &b, !fails && !lost);
	coord_batch_clear(&b);
}

static void pass_time(cell *c, int64_t ns)
{
	c->now += ns;
	for (auto &n : c->nodes) {
		agent_core_tick(n.core, c->now);
		if (n.peer != 0 && !n.cut) {
			msg m = {};

			m.kind = MSG_BEAT;
			m.beat.term = agent_core_term(n.core);
			node_send(&n, &m);
		}
	}
	if (c->co != nullptr)
		coord_tick(c->co, c->now, c->now);
}

static void new_job(cell *c, uint32_t r)
{
	static const uint32_t sizes[] = {1, 2, 8, 16, 16, 24};
	job_spec *s = (job_spec *)xcalloc(1, sizeof(*s));

	xasprintf(&s->id, "c~%d", c->jobs++);
	s->org = xstrdup(r & 1 ? "a" : "b");
	s->fingerprint = xstrdup("f");
	s->accelerators = sizes[(r >> 1) % 6];
	s->adjacency = s->accelerators > 16 ? ADJACENCY_ANY : ADJACENCY_RACK;
	s->idempotent = (r >> 4 & 3) == 0;
	s->durable = (r >> 6 & 3) == 0;
	s->submitted_wall_ms = c->now / NSEC_PER_MSEC;
	c->twice_allowed[s->id] = s->idempotent;
	c->open[s->id] = s;
	submit_open(c, s->id);
}

/* A caller no longer wants one of the open jobs. */
static void cancel_one(cell *c, uint32_t x)
{
	msg m = {};

	if (c->co == nullptr || c->open.empty())
		return;
	auto it = c->open.begin();
	std::advance(it, x % c->open.size());
	std::string id = it->first;
	m.kind = MSG_CANCEL;
	m.cancel.job = (char *)id.c_str();
	coord_message(c->co, c->now, ENTRY, &m);
}

/*
 * A takeover as it mostly goes: all agents find the next coordinator soon, and tasks end and
 * agents restart while it still collects what they run.
 */
static void take_over(cell *c, uint32_t x)
{
	if (c->co != nullptr)
		kill_coord(c);
	start_coord(c);
	for (int i = 0; i < 8; i++, x /= 4) {
		node *n = &c->nodes[i % AGENTS];

		connect_node(c, n);
		for (int k = 0; k < 6; k++) {
			deliver(c, n, true);
			deliver(c, n, false);
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
		pass_time(c, SEC / 4);
	}
}

/* One random event. */
static void step(cell *c, uint32_t r)
{
	node *n = &c->nodes[r / 64 % AGENTS];
	uint32_t x = r / 256;

	switch (r % 64) {
	case 0:
	case 1:
		new_job(c, x);
		break;
	case 2:
		if (c->co != nullptr)
			kill_coord(c);
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
		n->cut = !n->cut;
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
		store_work(c, x % 4 == 0, x % 4 == 1);
		break;
	case 10:
		pass_time(c, (int64_t)(x % 60) * SEC / 10);
		break;
	case 11:
		pass_time(c, SEC / 2);
		break;
	case 12:
		if (c->co == nullptr)
			start_coord(c);
		break;
	case 13:
		connect_node(c, n);
		break;
	case 14:
		take_over(c, x);
		break;
	case 15:
		cancel_one(c, x);
		break;
	default:
		deliver(c, n, x & 1);
		break;
	}
}

/* A member that was never told to start says so; the upstream never lies about it. */
static cell *make_cell()
{
	static const char cluster[] =
		"grace: 1s\ncells: {c: {workers: 4, workers_per_rack: 2, accelerators: 8}}\n"
		"classes: {now: {priority: 0}}\n";
	static const char team[] = "organisations: {a: {guarantees: [{accelerators: 8, within: worker}]}, b: {}}\n";
	doc_problems problems = STAILQ_HEAD_INITIALIZER(problems);
	doc_section sections[] = {{(char *)"cluster", (char *)cluster, 1, 1, 0},
		{(char *)"teams/t", (char *)team, 2, 1, 0}};
	cell *c = new cell;

	c->document = doc_parse_sections(sections, 2, &problems);
	c->document->number = 1;
	for (int i = 0; i < AGENTS; i++) {
		c->nodes[i].index = i;
		start_node(c, &c->nodes[i]);
	}
	start_coord(c);
	return c;
}

static void free_cell(cell *c)
{
	if (c->co != nullptr)
		kill_coord(c);
	for (auto &n : c->nodes) {
		drop_queue(n.to_agent);
		drop_queue(n.to_coord);
		agent_core_free(n.core);
	}
	for (auto &r : c->store)
		job_record_free(r.second);
	for (auto &o : c->open) {
		fields_clear(&job_spec_fields, o.second);
		free(o.second);
	}
	doc_free(c->document);
	delete c;
}

/* Let all that is in flight arrive. */
static void settle_all(cell *c)
{
	if (c->co == nullptr)
		start_coord(c);
	for (int round = 0; round < 600 && (!c->open.empty() || round < 30); round++) {
		for (auto &n : c->nodes) {
			n.cut = false;
			connect_node(c, &n);
		}
		for (int i = 0; i < 40; i++) {
			for (auto &n : c->nodes) {
				deliver(c, &n, true);
				if (c->co != nullptr)
					deliver(c, &n, false);
			}
		}
		store_work(c, false, false);
		for (auto &n : c->nodes) {
			std::vector<std::string> ids;

			for (auto &t : n.running)
				ids.push_back(t.first);
			for (auto &id : ids)
				end_task(&n, id, MEMBER_END_DONE);
		}
		pass_time(c, SEC / 4);
	}
}

/* Whatever happens: no job runs twice that must not, no refusal lies, every job gets an answer. */
static void promises_hold()
{
	auto events = *rc::gen::container<std::vector<uint32_t>>(rc::gen::arbitrary<uint32_t>());
	auto more = *rc::gen::container<std::vector<uint32_t>>(rc::gen::inRange<uint32_t>(0, 1u << 20));
	cell *c = make_cell();

	for (int i = 0; i < 14; i++) {
		for (auto &n : c->nodes)
			connect_node(c, &n);
		for (auto &n : c->nodes) {
			for (int k = 0; k < 8; k++) {
				deliver(c, &n, true);
				deliver(c, &n, false);
			}
		}
		store_work(c, false, false);
		pass_time(c, SEC / 4);
	}
	events.insert(events.end(), more.begin(), more.end());
	for (uint32_t r : events) {
		step(c, r);
		if (!c->wrong.empty())
			break;
	}
	if (c->wrong.empty())
		settle_all(c);
	std::string wrong = c->wrong;
	std::string open = c->open.empty() ? "" : c->open.begin()->first;
	free_cell(c);
	if (!wrong.empty())
		RC_FAIL(wrong);
	if (!open.empty())
		RC_FAIL("job " + open + " never got an answer");
}

void prop_gang()
{
	prop("gang: promises hold over any order of losses, crashes and takeovers", promises_hold);
}
