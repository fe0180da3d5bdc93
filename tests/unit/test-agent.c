#include "unit.h"

#include "agent-core.h"

#include <string.h>

/* Calls of the agent core to its ports, recorded. */
struct recorded {
	int starts;
	int stops;
	bool reserved_ok;
	uint32_t last_end; /* enum member_end */
	int ends;
	bool gang_alive;
};

static void port_send(void *arg, const struct msg *m)
{
	struct recorded *rec = arg;

	if (m->kind == MSG_RESERVED)
		rec->reserved_ok = m->reserved.ok;
	if (m->kind != MSG_ENDED)
		return;
	rec->last_end = m->ended.end;
	rec->ends++;
}

static void port_send_gang(void *arg, const char *addr, const struct msg *m)
{
	(void)addr;
	((struct recorded *)arg)->gang_alive = m->gang_beat.alive;
}

static void port_start_task(void *arg, const struct agent_member *m)
{
	(void)m;
	((struct recorded *)arg)->starts++;
}

static void port_stop_task(void *arg, const struct agent_member *m, enum stop_mode mode)
{
	(void)m;
	(void)mode;
	((struct recorded *)arg)->stops++;
}

/* Create an agent with 8 accelerators, 2 slots and term 2. */
static struct agent_core *make_agent(struct recorded *rec)
{
	struct agent_ports ports = {
		port_send, port_send_gang, port_start_task, port_stop_task, rec};
	struct agent_upstream u = {.expires = INT64_MAX,
		.addr = "a",
		.worker = "w",
		.rack = "r",
		.zone = "z",
		.accelerators = 8,
		.slots = 2,
		.connections = 64};
	struct agent_core *a;

	memset(rec, 0, sizeof(*rec));
	a = agent_core_new(&ports);
	agent_core_upstream_announced(a, 0, &u);
	agent_core_adopt_term(a, 0, 2);
	return a;
}

static void reserve(struct agent_core *a, uint64_t term, char *job, uint32_t attempt,
	uint32_t accelerators, uint32_t size, bool start)
{
	struct msg m = {.kind = MSG_RESERVE};

	m.reserve = (struct msg_reserve){.term = term,
		.spec = {.id = job, .org = "o"},
		.attempt = attempt,
		.size = size,
		.accelerators = accelerators,
		.start = start,
		.roster = "x:1,y:1"}; /* addresses of the agents of the gang's members */
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

/* Messages of an old term neither start nor stop a member. */
static void old_terms_refused(void)
{
	struct recorded rec;
	struct agent_core *a = make_agent(&rec);

	reserve(a, 1, "j", 1, 1, 1, true);
	CU_ASSERT_EQUAL(rec.starts, 0);
	CU_ASSERT_FALSE(rec.reserved_ok);
	CU_ASSERT_FALSE(agent_core_adopt_term(a, 0, 1));
	reserve(a, 3, "j", 1, 1, 1, true);
	CU_ASSERT_EQUAL(rec.starts, 1);
	send_stop(a, 2, "j", 1);
	CU_ASSERT_EQUAL(rec.stops, 0);
	agent_core_free(a);
}

/*
 * An attempt that was stopped before its reservation arrived never starts, nor does an earlier
 * one. A later attempt starts, and only once if its reservation is repeated.
 */
static void voided_attempts_never_start(void)
{
	struct recorded rec;
	struct agent_core *a = make_agent(&rec);

	send_stop(a, 2, "j", 3);
	CU_ASSERT_EQUAL(rec.last_end, MEMBER_END_NEVER_STARTED);
	reserve(a, 2, "j", 3, 1, 1, true);
	reserve(a, 2, "j", 2, 1, 1, true);
	CU_ASSERT_EQUAL(rec.starts, 0);
	reserve(a, 2, "j", 4, 1, 1, true);
	CU_ASSERT_EQUAL(rec.starts, 1);
	reserve(a, 2, "j", 4, 1, 1, true);
	CU_ASSERT_EQUAL(rec.starts, 1);
	agent_core_free(a);
}

/* Reservations beyond the slots or the accelerators are refused. */
static void capacity_limits(void)
{
	struct recorded rec;
	struct agent_core *a = make_agent(&rec);

	reserve(a, 2, "a", 1, 6, 1, true);
	reserve(a, 2, "b", 1, 3, 1, true);
	CU_ASSERT_FALSE(rec.reserved_ok);
	reserve(a, 2, "c", 1, 2, 1, true);
	CU_ASSERT(rec.reserved_ok);
	reserve(a, 2, "d", 1, 0, 1, true);
	CU_ASSERT_FALSE(rec.reserved_ok);
	CU_ASSERT_EQUAL(rec.starts, 2);
	agent_core_free(a);
}

/*
 * A gang member does not start before it is told to. A reservation that expires is voided, and
 * a late start of it has no effect.
 */
static void gang_waits_for_start(void)
{
	struct recorded rec;
	struct agent_core *a = make_agent(&rec);

	reserve(a, 2, "g", 1, 4, 2, false);
	CU_ASSERT_EQUAL(rec.starts, 0);
	agent_core_tick(a, AGENT_RESERVE_LEASE_NS + NSEC_PER_SEC);
	CU_ASSERT_EQUAL(rec.last_end, MEMBER_END_NEVER_STARTED);
	send_start(a, "g", 1);
	CU_ASSERT_EQUAL(rec.starts, 0);
	reserve(a, 2, "g", 2, 4, 2, false);
	send_start(a, "g", 2);
	CU_ASSERT_EQUAL(rec.starts, 1);
	agent_core_free(a);
}

/* A gang member stops when the lease with the other members expires. */
static void gang_lease_expires(void)
{
	struct recorded rec;
	struct agent_core *a = make_agent(&rec);
	struct msg_gang_beat b = {.job = "g", .attempt = 1, .member = 1, .alive = true};

	reserve(a, 2, "g", 1, 4, 2, false);
	send_start(a, "g", 1);
	agent_core_gang_beat(a, 4 * NSEC_PER_SEC, &b, "#1");
	CU_ASSERT(rec.gang_alive);
	agent_core_tick(a, 8 * NSEC_PER_SEC);
	CU_ASSERT_EQUAL(rec.stops, 0);
	agent_core_tick(a, 10 * NSEC_PER_SEC);
	CU_ASSERT_EQUAL(rec.stops, 1);
	agent_core_gang_beat(a, 10 * NSEC_PER_SEC, &b, "#1");
	CU_ASSERT_FALSE(rec.gang_alive);
	agent_core_free(a);
}

/* An upstream whose announcement has expired or that is leaving gets no new work. */
static void announcements_expire(void)
{
	struct recorded rec;
	struct agent_core *a = make_agent(&rec);
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
	CU_ASSERT_EQUAL(rec.starts, 0);
	agent_core_free(a);
}

void unit_agent(CU_pSuite s)
{
	CU_add_test(s, "old terms are refused", old_terms_refused);
	CU_add_test(s, "voided attempts never start", voided_attempts_never_start);
	CU_add_test(s, "slots and accelerators are not exceeded", capacity_limits);
	CU_add_test(s, "gang members wait for the start message", gang_waits_for_start);
	CU_add_test(s, "gang members stop when their lease expires", gang_lease_expires);
	CU_add_test(s, "announcements expire", announcements_expire);
}
