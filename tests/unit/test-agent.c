#include "unit.h"

#include "agent-core.h"

#include <string.h>

/* What an agent core sent and did. */
struct seen {
	int starts;
	int stops;
	bool reserved_ok;
	uint32_t ended;
	int ends;
	bool gang_alive;
};

static void port_send(void *arg, const struct msg *m)
{
	struct seen *s = arg;

	if (m->kind == MSG_RESERVED)
		s->reserved_ok = m->reserved.ok;
	if (m->kind != MSG_ENDED)
		return;
	s->ended = m->ended.end;
	s->ends++;
}

static void port_gang(void *arg, const char *addr, const struct msg *m)
{
	(void)addr;
	((struct seen *)arg)->gang_alive = m->gang_beat.alive;
}

static void port_start(void *arg, const struct agent_member *m)
{
	(void)m;
	((struct seen *)arg)->starts++;
}

static void port_stop(void *arg, const struct agent_member *m, enum stop_mode mode)
{
	(void)m;
	(void)mode;
	((struct seen *)arg)->stops++;
}

/* An agent with 8 accelerators and term 2. */
static struct agent_core *make_agent(struct seen *s)
{
	struct agent_ports ports = {port_send, port_gang, port_start, port_stop, s};
	struct agent_upstream u = {.expires = INT64_MAX,
		.addr = "a",
		.worker = "w",
		.rack = "r",
		.zone = "z",
		.accelerators = 8,
		.slots = 2,
		.connections = 64};
	struct agent_core *a;

	memset(s, 0, sizeof(*s));
	a = agent_core_new(&ports);
	agent_core_upstream_announced(a, 0, &u);
	agent_core_adopt_term(a, 0, 2);
	return a;
}

static void reserve(struct agent_core *a, uint64_t term, char *job, uint32_t attempt,
	uint32_t n, uint32_t size, bool start)
{
	struct msg m = {.kind = MSG_RESERVE};

	m.reserve = (struct msg_reserve){.term = term,
		.spec = {.id = job, .org = "o"},
		.attempt = attempt,
		.size = size,
		.accelerators = n,
		.start = start,
		.roster = "x:1,y:1"};
	agent_core_message(a, 0, &m);
}

static void send_stop(struct agent_core *a, uint64_t term, char *job, uint32_t attempt)
{
	struct msg m = {.kind = MSG_STOP,
		.stop = {.term = term, .job = job, .attempt = attempt, .mode = STOP_RELEASE}};

	agent_core_message(a, 0, &m);
}

static void send_start(struct agent_core *a, char *job, uint32_t attempt)
{
	struct msg m = {
		.kind = MSG_START, .start = {.term = 2, .job = job, .attempt = attempt}};

	agent_core_message(a, 0, &m);
}

/* A message of an old term starts nothing. */
static void old_terms(void)
{
	struct seen s;
	struct agent_core *a = make_agent(&s);

	reserve(a, 1, "j", 1, 1, 1, true);
	CU_ASSERT_EQUAL(s.starts, 0);
	CU_ASSERT_FALSE(s.reserved_ok);
	CU_ASSERT_FALSE(agent_core_adopt_term(a, 0, 1));
	reserve(a, 3, "j", 1, 1, 1, true);
	CU_ASSERT_EQUAL(s.starts, 1);
	send_stop(a, 2, "j", 1);
	CU_ASSERT_EQUAL(s.stops, 0);
	agent_core_free(a);
}

/* An attempt that was voided before it came never starts; nor does an earlier one. */
static void fences(void)
{
	struct seen s;
	struct agent_core *a = make_agent(&s);

	send_stop(a, 2, "j", 3);
	CU_ASSERT_EQUAL(s.ended, MEMBER_END_NEVER_STARTED);
	reserve(a, 2, "j", 3, 1, 1, true);
	reserve(a, 2, "j", 2, 1, 1, true);
	CU_ASSERT_EQUAL(s.starts, 0);
	reserve(a, 2, "j", 4, 1, 1, true);
	CU_ASSERT_EQUAL(s.starts, 1);
	reserve(a, 2, "j", 4, 1, 1, true);
	CU_ASSERT_EQUAL(s.starts, 1);
	agent_core_free(a);
}

/* Never above the slots and the accelerators. */
static void limits(void)
{
	struct seen s;
	struct agent_core *a = make_agent(&s);

	reserve(a, 2, "a", 1, 6, 1, true);
	reserve(a, 2, "b", 1, 3, 1, true);
	CU_ASSERT_FALSE(s.reserved_ok);
	reserve(a, 2, "c", 1, 2, 1, true);
	CU_ASSERT(s.reserved_ok);
	reserve(a, 2, "d", 1, 0, 1, true);
	CU_ASSERT_FALSE(s.reserved_ok);
	CU_ASSERT_EQUAL(s.starts, 2);
	agent_core_free(a);
}

/* A gang's member waits at its gate; a reservation that is not used lapses and is void. */
static void start_gate(void)
{
	struct seen s;
	struct agent_core *a = make_agent(&s);

	reserve(a, 2, "g", 1, 4, 2, false);
	CU_ASSERT_EQUAL(s.starts, 0);
	agent_core_tick(a, AGENT_RESERVE_LEASE_NS + NSEC_PER_SEC);
	CU_ASSERT_EQUAL(s.ended, MEMBER_END_NEVER_STARTED);
	send_start(a, "g", 1);
	CU_ASSERT_EQUAL(s.starts, 0);
	reserve(a, 2, "g", 2, 4, 2, false);
	send_start(a, "g", 2);
	CU_ASSERT_EQUAL(s.starts, 1);
	agent_core_free(a);
}

/* A member that no longer hears the others of its gang stops. */
static void gang_lease(void)
{
	struct seen s;
	struct agent_core *a = make_agent(&s);
	struct msg_gang_beat b = {.job = "g", .attempt = 1, .member = 1, .alive = true};

	reserve(a, 2, "g", 1, 4, 2, false);
	send_start(a, "g", 1);
	agent_core_gang_beat(a, 4 * NSEC_PER_SEC, &b, "#1");
	CU_ASSERT(s.gang_alive);
	agent_core_tick(a, 8 * NSEC_PER_SEC);
	CU_ASSERT_EQUAL(s.stops, 0);
	agent_core_tick(a, 10 * NSEC_PER_SEC);
	CU_ASSERT_EQUAL(s.stops, 1);
	agent_core_gang_beat(a, 10 * NSEC_PER_SEC, &b, "#1");
	CU_ASSERT_FALSE(s.gang_alive);
	agent_core_free(a);
}

/* An announcement that lapses, and a leaving upstream, get no new work. */
static void announcements_lapse(void)
{
	struct seen s;
	struct agent_core *a = make_agent(&s);
	struct agent_upstream u = *agent_core_upstream(a);

	u.expires = 3 * NSEC_PER_SEC;
	u.addr = "a";
	u.worker = "w";
	u.rack = "r";
	u.zone = "z";
	agent_core_upstream_announced(a, 0, &u);
	CU_ASSERT(agent_core_serving(a, 2 * NSEC_PER_SEC));
	CU_ASSERT_FALSE(agent_core_serving(a, 3 * NSEC_PER_SEC));
	agent_core_upstream_announced(a, 0, &u);
	agent_core_upstream_leaving(a, 0);
	reserve(a, 2, "j", 1, 1, 1, true);
	CU_ASSERT_EQUAL(s.starts, 0);
	agent_core_free(a);
}

void unit_agent(CU_pSuite s)
{
	CU_add_test(s, "old terms are refused", old_terms);
	CU_add_test(s, "void attempts never start", fences);
	CU_add_test(s, "slots and accelerators are limits", limits);
	CU_add_test(s, "members wait at the start gate", start_gate);
	CU_add_test(s, "members of a gang depend on each other", gang_lease);
	CU_add_test(s, "announcements lapse", announcements_lapse);
}
