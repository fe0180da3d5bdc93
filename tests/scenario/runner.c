#include "runner.h"

#include <errno.h>
#include <signal.h>
#include <sys/socket.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/*
 * Runs a scenario: a file with one command per line, executed against real processes on
 * loopback. Timeouts only end a hang. No check depends on how long something took, except the
 * bound on partially running gangs, which the product guarantees.
 */

#define AWAIT_TIMEOUT (90 * NSEC_PER_SEC)
#define STOP_TIMEOUT  (40 * NSEC_PER_SEC)

/* Return the monotonic time in ns. */
int64_t now_ns(void)
{
	return clock_now(&clock_system);
}

/* Print a message with the current line and count a failure. */
void fail(struct scenario *s, const char *fmt, ...)
{
	AUTOFREE char *text = NULL;
	va_list ap;

	va_start(ap, fmt);
	if (vasprintf(&text, fmt, ap) < 0)
		abort();
	va_end(ap);
	fprintf(stderr, "%s:%d: %s\n", s->file, s->line, text);
	s->counts.failed++;
}

/*
 * Return the address of the first entry that runs and is not stopping, or an address that
 * refuses connections. Entries are the processes whose names start with "e".
 */
const char *any_entry_addr(struct scenario *s)
{
	for (guint i = 0; i < s->procs->len; i++) {
		const struct proc *p = s->procs->pdata[i];

		if (p->name[0] == 'e' && p->pid > 0 && !p->stopping && !p->killed)
			return p->addr;
	}
	return "127.0.0.1:1";
}

/* Find a worker by name. */
static struct worker *find_worker(struct scenario *s, const char *name)
{
	for (guint i = 0; i < s->workers->len; i++) {
		struct worker *w = s->workers->pdata[i];

		if (strcmp(w->name, name) == 0)
			return w;
	}
	return NULL;
}

/* Find a job by name. */
static struct job *find_job(struct scenario *s, const char *name)
{
	for (guint i = 0; i < s->jobs->len; i++) {
		struct job *j = s->jobs->pdata[i];

		if (strcmp(j->name, name) == 0)
			return j;
	}
	return NULL;
}

/* Copy a NULL-terminated list of strings into an argument vector. */
static char **make_argv(const char *first, ...)
{
	GPtrArray *a = g_ptr_array_new();
	va_list ap;

	va_start(ap, first);
	for (const char *p = first; p != NULL; p = va_arg(ap, const char *))
		g_ptr_array_add(a, g_strdup(p));
	va_end(ap);
	g_ptr_array_add(a, NULL);
	return (char **)g_ptr_array_free(a, FALSE);
}

/* Return VALUE of the word NAME=VALUE, or NULL if there is none. */
static const char *option_value(char **w, const char *name)
{
	size_t len = strlen(name);

	for (int i = 1; w[i] != NULL; i++) {
		if (strncmp(w[i], name, len) == 0 && w[i][len] == '=')
			return w[i] + len + 1;
	}
	return NULL;
}

/* Whether the command has this word as an argument. */
static bool has_word(char **w, const char *word)
{
	for (int i = 1; w[i] != NULL; i++) {
		if (strcmp(w[i], word) == 0)
			return true;
	}
	return false;
}

/* store [down|up|slow [MS]|drop [COUNT]|expire|compact]: start the store, later control it. */
static void do_store(struct scenario *s, char **w)
{
	g_autofree char *prog = g_strconcat(s->bin, "/standin-store", NULL);
	g_autofree char *body = NULL;
	const char *n = w[1] != NULL && w[2] != NULL ? w[2] : "1";

	if (s->store == NULL) {
		s->store = proc_start(s, "store", make_argv(prog, "127.0.0.1:0", NULL));
		return;
	}
	s->last_fault_at = now_ns();
	if (strcmp(w[1], "down") == 0 || strcmp(w[1], "up") == 0)
		body = g_strdup_printf("{\"down\":%s}", w[1][0] == 'd' ? "true" : "false");
	else if (strcmp(w[1], "slow") == 0)
		body = g_strdup_printf("{\"slow_ms\":%s}", n);
	else if (strcmp(w[1], "drop") == 0)
		body = g_strdup_printf("{\"drop_answers\":%s}", n);
	else
		body = g_strdup_printf("{\"%s\":true}",
			strcmp(w[1], "expire") == 0 ? "expire_leases" : "compact");
	client_put(s->store->addr, "/control", body, NULL);
}

/* entry NAME [SETTING=VALUE]: start an entry. */
static void do_entry(struct scenario *s, char **w)
{
	g_autofree char *prog = g_strconcat(s->bin, "/damaskpathd", NULL);
	g_autofree char *store = g_strconcat("--store=http://", s->store->addr, NULL);
	g_autofree char *http_addr = unused_addr();
	g_autofree char *http = g_strconcat("--http=", http_addr, NULL);
	g_autofree char *name = g_strconcat("--name=", w[1], NULL);
	g_autofree char *extra = w[2] != NULL ? g_strconcat("--", w[2], NULL) : NULL;

	proc_start(s, w[1],
		make_argv(prog, "entry", http, store, name, "--coordinator-timeout=20s", extra,
			NULL));
}

/* worker NAME [rack=R] [accelerators=N] [fail-all] [keys=K]: start agent and upstream. */
static void do_worker(struct scenario *s, char **w)
{
	g_autofree char *prog = g_strconcat(s->bin, "/damaskpathd", NULL);
	g_autofree char *standin = g_strconcat(s->bin, "/standin-upstream", NULL);
	g_autofree char *store = g_strconcat("--store=http://", s->store->addr, NULL);
	g_autofree char *peer_addr = unused_addr();
	g_autofree char *http_addr = unused_addr();
	g_autofree char *up_addr = unused_addr();
	g_autofree char *agent_name = g_strconcat(w[1], ".agent", NULL);
	g_autofree char *name = g_strconcat("--name=", w[1], NULL);
	g_autofree char *http = g_strconcat("--agent-http=", http_addr, NULL);
	g_autofree char *peer = g_strconcat("--peer=", peer_addr, NULL);
	g_autofree char *advertise = NULL;
	char *relay_addr = NULL;
	const char *rack = option_value(w, "rack");
	const char *n = option_value(w, "accelerators");
	g_autofree char *keys =
		option_value(w, "keys") != NULL
			? g_strconcat("--peer-keys=", option_value(w, "keys"), NULL)
			: NULL;
	struct worker *wk = xcalloc(1, sizeof(*wk));

	g_strlcpy(wk->name, w[1], sizeof(wk->name));
	wk->relay = relay_new(peer_addr, &relay_addr);
	advertise = g_strconcat("--advertise=", relay_addr, NULL);
	g_free(relay_addr);
	wk->agent = proc_start(s, agent_name,
		make_argv(prog, "agent", "--cell=cell-1", "--lease=3s", store, name, http, peer,
			advertise, "--store-timeout=1s", keys, NULL));
	wk->upstream = proc_start(s, w[1],
		make_argv(standin, "--http", up_addr, "--agent", http_addr, "--worker", w[1],
			"--rack", rack != NULL ? rack : "r1", "--accelerators",
			n != NULL ? n : "8", has_word(w, "fail-all") ? "--fail-all" : NULL,
			NULL));
	g_ptr_array_add(s->workers, wk);
}

/* config FILE: create all sections of a document, each retried until it is accepted. */
static void do_config(struct scenario *s, char **w)
{
	struct doc_problems problems = STAILQ_HEAD_INITIALIZER(problems);
	g_autoptr(GPtrArray) sections = g_ptr_array_new_with_free_func(doc_section_free);
	g_autofree char *text = NULL;

	if (!g_file_get_contents(w[1], &text, NULL, NULL) ||
		!doc_split_sections(text, sections, &problems)) {
		fail(s, "cannot read or parse %s", w[1]);
		return;
	}
	for (guint i = 0; i < sections->len; i++) {
		const struct doc_section *sec = sections->pdata[i];
		g_autofree char *path = g_strdup_printf("/v1/config/%s?base=0", sec->name);
		int64_t limit = now_ns() + AWAIT_TIMEOUT;
		int status = 0;

		while (status != 200 && now_ns() < limit) {
			status = client_put(any_entry_addr(s), path, sec->text, NULL);
			if (status != 200)
				usleep(50000);
		}
		if (status != 200)
			fail(s, "section %s not accepted: HTTP status %d", sec->name, status);
	}
}

/* Count the workers in a state, as an entry reports them; name may be NULL. */
static int count_workers(struct scenario *s, const char *state, const char *name)
{
	int status;
	json_t *o = client_get(s, NULL, "/v1/workers", &status);
	json_t *row;
	size_t i;
	int n = 0;

	json_array_foreach(status == 200 ? o : NULL, i, row) {
		const char *actual_state = json_string_value(json_object_get(row, "state"));
		const char *worker = json_string_value(json_object_get(row, "worker"));

		n += actual_state != NULL && strcmp(actual_state, state) == 0 &&
		     (name == NULL || strcmp(name, worker) == 0);
	}
	json_decref(o);
	return n;
}

/* Whether there is one cell, and its coordinator is settled and has a configuration. */
static bool is_settled(struct scenario *s)
{
	int status;
	json_t *o = client_get(s, NULL, "/v1/cells", &status);
	json_t *row = json_array_get(o, 0);
	bool ok = status == 200 && json_array_size(o) == 1 &&
		  json_is_true(json_object_get(row, "settled")) &&
		  json_integer_value(json_object_get(row, "config")) > 0;

	json_decref(o);
	return ok;
}

/* Return the configuration number in force at an entry, or 0 if it does not respond. */
static int64_t config_number(struct scenario *s, const char *addr)
{
	int status;
	json_t *o = client_get(s, addr, "/v1/config-status", &status);
	int64_t n = json_integer_value(json_object_get(o, "number"));

	json_decref(o);
	return status == 200 ? n : 0;
}

/* Check that no entry's configuration number has decreased. */
static void check_config_numbers(struct scenario *s)
{
	for (guint i = 0; i < s->procs->len; i++) {
		struct proc *p = s->procs->pdata[i];
		int64_t n;
		int64_t *last;

		if (p->name[0] != 'e' || p->pid <= 0 || p->killed || p->stopping)
			continue;
		n = config_number(s, p->addr);
		last = g_hash_table_lookup(s->config_numbers, p->name);
		if (n > 0 && last != NULL && n < *last)
			s->counts.reverted++;
		if (n > 0)
			g_hash_table_replace(
				s->config_numbers, g_strdup(p->name), g_memdup2(&n, sizeof(n)));
	}
}

/* Whether every running entry has at least this configuration number. */
static bool all_entries_have_config(struct scenario *s, int64_t n)
{
	for (guint i = 0; i < s->procs->len; i++) {
		struct proc *p = s->procs->pdata[i];

		if (p->name[0] == 'e' && p->pid > 0 && !p->killed &&
			config_number(s, p->addr) < n)
			return false;
	}
	return true;
}

/* Whether a job has an outcome or its connection was cut; polls an accepted job. */
static bool has_outcome(struct scenario *s, struct job *j)
{
	if (!__atomic_load_n(&j->call_returned, __ATOMIC_ACQUIRE))
		return false;
	client_poll(s, j);
	return j->outcome != NULL || j->cut;
}

/* Evaluate the condition of an await command. */
static bool condition_holds(struct scenario *s, char **w)
{
	struct job *j;

	if (strcmp(w[1], "workers") == 0)
		return count_workers(s, "up", NULL) >= atoi(w[2]) && is_settled(s);
	if (strcmp(w[1], "settled") == 0)
		return is_settled(s);
	if (strcmp(w[1], "worker") == 0)
		return count_workers(s, w[3], w[2]) == 1;
	if (strcmp(w[1], "config") == 0)
		return all_entries_have_config(s, atoi(w[2]));
	if (strcmp(w[1], "running") == 0) {
		j = find_job(s, w[2]);
		return j != NULL && audit_count_starts(s, j) > 0;
	}
	if (strcmp(w[1], "jobs") == 0) {
		for (guint i = 0; i < s->jobs->len; i++) {
			if (!has_outcome(s, s->jobs->pdata[i]))
				return false;
		}
		return true;
	}
	j = find_job(s, w[1]);
	return j != NULL && has_outcome(s, j);
}

/* await CONDITION...: wait until a condition holds. */
static void do_await(struct scenario *s, char **w)
{
	int64_t limit = now_ns() + AWAIT_TIMEOUT;

	while (!condition_holds(s, w)) {
		if (now_ns() > limit) {
			fail(s, "timed out waiting for %s %s", w[1], w[2] ? w[2] : "");
			return;
		}
		usleep(20000);
	}
}

/* Build the request body of a submit command. */
static char *job_body(const struct job *j, char **w)
{
	json_t *o = json_pack("{s:s,s:s,s:b}", "organisation",
		option_value(w, "org") ? option_value(w, "org") : "alpha", "class",
		option_value(w, "class") ? option_value(w, "class") : "normal", "idempotent",
		j->idempotent);
	g_autofree char *payload = g_strdup_printf("{\"tag\":\"%s\",\"sleep_ms\":%s%s%s%s}",
		j->name, option_value(w, "sleep") ? option_value(w, "sleep") : "100",
		has_word(w, "fail") ? ",\"fail\":true" : "",
		has_word(w, "ignore-stop") ? ",\"ignore_stop\":true" : "",
		has_word(w, "refuse") ? ",\"refuse\":true" : "");
	char *text;

	json_object_set_new(o, "payload", json_string(payload));
	json_object_set_new(o, "accelerators",
		json_integer(option_value(w, "acc") ? atoi(option_value(w, "acc")) : 1));
	if (option_value(w, "within") != NULL)
		json_object_set_new(o, "within", json_string(option_value(w, "within")));
	if (option_value(w, "deadline") != NULL)
		json_object_set_new(
			o, "deadline_s", json_real(atof(option_value(w, "deadline"))));
	if (option_value(w, "run") != NULL)
		json_object_set_new(o, "run_time_s", json_real(atof(option_value(w, "run"))));
	json_object_set_new(o, "checkpoint", json_boolean(has_word(w, "checkpoint")));
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

/* Submit one job, which is recorded under name. */
static struct job *submit_job(struct scenario *s, const char *name, char **w)
{
	struct job *j = xcalloc(1, sizeof(*j));

	g_strlcpy(j->name, name, sizeof(j->name));
	j->idempotent = has_word(w, "idempotent");
	j->async = has_word(w, "async");
	j->key = xstrdup(option_value(w, "key"));
	j->entry_name = xstrdup(option_value(w, "entry"));
	/* job_body() takes the tag from the name. */
	if (option_value(w, "tag") != NULL)
		g_strlcpy(j->name, option_value(w, "tag"), sizeof(j->name));
	j->body = job_body(j, w);
	g_strlcpy(j->name, name, sizeof(j->name));
	g_ptr_array_add(s->jobs, j);
	client_submit(s, j);
	return j;
}

/*
 * submit NAME[*COUNT] [WORD...]: submit a job, or jobs NAME0, NAME1 and so on. Words: org=,
 * class=, acc=, within=, sleep=, deadline=, run=, key=, entry=, tag=, idempotent, async,
 * checkpoint, fail, refuse, ignore-stop.
 */
static void do_submit(struct scenario *s, char **w)
{
	char *star = strchr(w[1], '*');
	int n = star != NULL ? atoi(star + 1) : 1;

	if (star == NULL) {
		submit_job(s, w[1], w);
		return;
	}
	*star = '\0';
	for (int i = 0; i < n; i++) {
		g_autofree char *name = g_strdup_printf("%s%d", w[1], i);

		submit_job(s, name, w);
	}
}

/* Wait until a job has an outcome or the timeout has passed. */
static void wait_for_outcome(struct scenario *s, struct job *j)
{
	int64_t limit = now_ns() + AWAIT_TIMEOUT;

	while (!has_outcome(s, j) && now_ns() < limit)
		usleep(10000);
}

/* expect JOB OUTCOME[|OUTCOME...] [kind=K] [not_run]: wait for a job and check its outcome. */
static void do_expect(struct scenario *s, char **w)
{
	struct job *j = find_job(s, w[1]);
	g_auto(GStrv) accepted_outcomes = g_strsplit(w[2], "|", -1);

	if (j == NULL) {
		fail(s, "unknown job %s", w[1]);
		return;
	}
	wait_for_outcome(s, j);
	if (j->outcome == NULL ||
		!g_strv_contains((const gchar *const *)accepted_outcomes, j->outcome))
		fail(s, "job %s: outcome is %s, expected %s: %s", w[1],
			j->outcome ? j->outcome
			: j->cut   ? "connection lost"
				   : "none",
			w[2], j->response ? j->response : "");
	if (option_value(w, "kind") != NULL &&
		g_strcmp0(option_value(w, "kind"), j->error_name) != 0)
		fail(s, "job %s: kind is %s, expected %s", w[1],
			j->error_name ? j->error_name : "none", option_value(w, "kind"));
	if (has_word(w, "not_run") && !j->not_run)
		fail(s, "job %s: not_run is not set", w[1]);
}

/* expect-all PREFIX OUTCOME: check the outcome of all jobs whose names have this prefix. */
static void do_expect_all(struct scenario *s, char **w)
{
	for (guint i = 0; i < s->jobs->len; i++) {
		struct job *j = s->jobs->pdata[i];
		char *words[] = {"expect", j->name, w[2], NULL};

		if (g_str_has_prefix(j->name, w[1]))
			do_expect(s, words);
	}
}

/* runs JOB MIN[-MAX]: check how often a job was started. */
static void do_runs(struct scenario *s, char **w)
{
	struct job *j = find_job(s, w[1]);
	uint32_t n = j != NULL ? audit_count_starts(s, j) : 0;
	uint32_t min = (uint32_t)atoi(w[2]);
	uint32_t max = strchr(w[2], '-') != NULL ? (uint32_t)atoi(strchr(w[2], '-') + 1) : min;

	if (n < min || n > max)
		fail(s, "job %s was started %u times, expected %s", w[1], n, w[2]);
}

/* cancel JOB: wait until the submit call returns, then cancel the job if it has an ID. */
static void do_cancel(struct scenario *s, char **w)
{
	struct job *j = find_job(s, w[1]);
	g_autofree char *url = NULL;
	struct http_call *c;

	while (j != NULL && !__atomic_load_n(&j->call_returned, __ATOMIC_ACQUIRE))
		usleep(5000);
	if (j == NULL || j->id == NULL)
		return;
	url = g_strdup_printf("http://%s/v1/jobs/%s", any_entry_addr(s), j->id);
	c = http_call_new("DELETE", url);
	http_call_run(c);
	http_call_free(c);
}

/* Send a signal to a process, or to both the upstream and the agent of a worker. */
static void signal_target(struct scenario *s, const char *name, int sig)
{
	struct worker *w = find_worker(s, name);

	if (w != NULL) {
		proc_signal(s, w->upstream, sig);
		proc_signal(s, w->agent, sig);
		return;
	}
	if (!proc_signal(s, proc_find(s, name), sig))
		fail(s, "cannot signal %s: no such running process", name);
}

/* Return the worker whose agent has logged the highest term among those not killed, or NULL. */
static struct worker *find_coordinator(struct scenario *s)
{
	struct worker *best = NULL;
	long best_term = -1;

	for (guint i = 0; i < s->workers->len; i++) {
		struct worker *w = s->workers->pdata[i];
		g_autofree char *log = NULL;
		const char *at;

		if (w->agent->killed || !g_file_get_contents(w->agent->log, &log, NULL, NULL))
			continue;
		at = g_strrstr(log, "Started coordinating");
		at = at != NULL ? strstr(at, "term=") : NULL;
		if (at != NULL && atol(at + 5) > best_term) {
			best_term = atol(at + 5);
			best = w;
		}
	}
	return best;
}

/*
 * Return the name of the worker that coordinates for "coordinator", and any other name
 * unchanged.
 */
static const char *resolve_name(struct scenario *s, const char *name)
{
	struct worker *w = strcmp(name, "coordinator") == 0 ? find_coordinator(s) : NULL;

	return w != NULL ? w->name : name;
}

/* restart NAME: start a process again, or those of a worker that have ended. */
static void do_restart(struct scenario *s, char **w)
{
	struct worker *wk = find_worker(s, w[1]);
	struct proc *p = proc_find(s, w[1]);

	if (wk != NULL) {
		if (wk->agent->pid == 0)
			proc_restart(s, wk->agent);
		if (wk->upstream->pid == 0)
			proc_restart(s, wk->upstream);
	} else if (p != NULL) {
		proc_restart(s, p);
	}
}

/* stop NAME: send SIGTERM and check that the processes exit with code 0. */
static void do_stop(struct scenario *s, char **w)
{
	const char *target = resolve_name(s, w[1]);
	struct worker *wk = find_worker(s, target);
	struct proc *p = proc_find(s, target);
	int code = 0;

	signal_target(s, target, SIGTERM);
	if (wk != NULL) {
		code |= proc_reap(wk->upstream, STOP_TIMEOUT);
		code |= proc_reap(wk->agent, STOP_TIMEOUT);
	} else if (p != NULL) {
		code = proc_reap(p, STOP_TIMEOUT);
	}
	if (code != 0)
		fail(s, "%s exited with code %d", target, code);
}

/* link NAME open|hold|cut: set the mode of the relay in front of an agent's peer address. */
static void do_link(struct scenario *s, char **w)
{
	struct worker *wk = find_worker(s, w[1]);

	s->last_fault_at = now_ns();
	if (wk == NULL)
		fail(s, "unknown worker %s", w[1]);
	else
		relay_set(wk->relay, strcmp(w[2], "cut") == 0	 ? RELAY_CUT
				     : strcmp(w[2], "hold") == 0 ? RELAY_HOLD
								 : RELAY_OPEN);
}

/* probe: submit short jobs until one is done; records the time since the last fault. */
static void do_probe(struct scenario *s, char **w)
{
	int64_t limit = now_ns() + AWAIT_TIMEOUT;
	char *words[] = {"submit", "probe", "idempotent", "sleep=1", "class=urgent", NULL};
	bool ok = false;

	(void)w;
	for (int i = 0; !ok && now_ns() < limit; i++) {
		g_autofree char *name = g_strdup_printf("probe%d-%d", s->line, i);
		struct job *j = submit_job(s, name, words);

		wait_for_outcome(s, j);
		ok = g_strcmp0(j->outcome, "done") == 0;
		if (!ok)
			usleep(100000);
	}
	if (!ok)
		fail(s, "no probe job was done");
	if (s->last_fault_at > 0)
		s->counts.recovery_s = MAX(s->counts.recovery_s,
			(double)(now_ns() - s->last_fault_at) / (double)NSEC_PER_SEC);
}

/* A thread of the race command, which edits a section of its own. */
struct config_editor {
	struct scenario *s;
	const char *addr;
	char *section;
	int edits;
	int accepted;
	int64_t last_number; /* configuration number of the last accepted edit */
};

/* Make the edits in sequence; one that is not accepted is repeated. */
static void *edit_thread(void *arg)
{
	struct config_editor *r = arg;
	uint64_t base = 0;

	for (int i = 0; i < r->edits; i++) {
		g_autofree char *text =
			g_strdup_printf("organisations:\n  %s-org:\n    quota: {jobs: %d}\n",
				r->section, i + 1);
		g_autofree char *path = g_strdup_printf(
			"/v1/config/teams/%s?base=%" G_GUINT64_FORMAT, r->section, base);
		json_t *o = NULL;
		int status = client_put(r->addr, path, text, &o);

		if (status == 200) {
			r->accepted++;
			r->last_number = json_integer_value(json_object_get(o, "number"));
			base = (uint64_t)r->last_number;
		} else {
			i--;
			usleep(20000);
		}
		json_decref(o);
	}
	return NULL;
}

/*
 * race N EDITS: N threads edit a section each at the same time, through all entries. The last
 * accepted edit of every section must remain.
 */
static void do_race(struct scenario *s, char **w)
{
	int n = atoi(w[1]);
	struct config_editor *r = xcalloc((size_t)n, sizeof(*r));
	pthread_t *threads = xcalloc((size_t)n, sizeof(*threads));
	GPtrArray *entries = g_ptr_array_new();
	int64_t last = 0;

	for (guint i = 0; i < s->procs->len; i++) {
		struct proc *p = s->procs->pdata[i];

		if (p->name[0] == 'e')
			g_ptr_array_add(entries, p->addr);
	}
	for (int i = 0; i < n; i++) {
		r[i] = (struct config_editor){.s = s,
			.addr = entries->pdata[(guint)i % entries->len],
			.edits = atoi(w[2])};
		r[i].section = g_strdup_printf("race%d", i);
		pthread_create(&threads[i], NULL, edit_thread, &r[i]);
	}
	for (int i = 0; i < n; i++) {
		pthread_join(threads[i], NULL);
		last = MAX(last, r[i].last_number);
	}
	while (!all_entries_have_config(s, last))
		usleep(20000);
	for (int i = 0; i < n; i++) {
		g_autofree char *path = g_strdup_printf("/v1/config/teams/%s", r[i].section);
		int status;
		json_t *o = client_get(s, NULL, path, &status);

		if (json_integer_value(json_object_get(o, "number")) != r[i].last_number)
			s->counts.reverted++;
		json_decref(o);
		g_free(r[i].section);
	}
	g_ptr_array_unref(entries);
	free(r);
	free(threads);
}

/* set SECTION BASE STATUS TEXT...: make an edit and check the status of the response. */
static void do_set(struct scenario *s, char **w)
{
	g_autofree char *path = g_strdup_printf("/v1/config/%s?base=%s", w[1], w[2]);
	g_autofree char *text = g_strjoinv(" ", w + 4);
	int status = client_put(any_entry_addr(s), path, text, NULL);

	if (status != atoi(w[3]))
		fail(s, "edit got HTTP status %d, expected %s", status, w[3]);
}

/*
 * raw NAME: send random bytes to an agent on 20 connections, every second one after a valid
 * magic number. Every third connection stays open. The agent must survive this.
 */
static void do_raw(struct scenario *s, char **w)
{
	struct worker *wk = find_worker(s, w[1]);
	char junk[4096];
	const char *addr = NULL;
	int fd;

	for (int i = 0; wk != NULL && wk->agent->argv[i] != NULL; i++) {
		if (g_str_has_prefix(wk->agent->argv[i], "--peer="))
			addr = wk->agent->argv[i] + 7;
	}
	for (int round = 0; addr != NULL && round < 20; round++) {
		for (size_t i = 0; i < sizeof(junk); i++)
			junk[i] = (char)g_rand_int_range(s->rand, 0, 256);
		if (round % 2 == 0)
			memcpy(junk, "DMP1", 4);
		fd = addr_dial(addr, NULL);
		usleep(2000);
		if (send(fd, junk, sizeof(junk), MSG_NOSIGNAL) < 0 && errno != EPIPE)
			usleep(1000);
		if (round % 3 != 0)
			close(fd);
	}
}

/* Inject a random fault of the mix command and undo it after a random time. */
static void random_fault(struct scenario *s)
{
	struct worker *w =
		s->workers->pdata[g_rand_int_range(s->rand, 0, (gint32)s->workers->len)];
	struct proc *e = proc_find(s, g_rand_boolean(s->rand) ? "e1" : "e2");
	char *words[] = {"store", "down", "1", NULL};
	useconds_t pause = (useconds_t)g_rand_int_range(s->rand, 200, 2500) * 1000;

	switch (g_rand_int_range(s->rand, 0, 9)) {
	case 0:
		proc_signal(s, w->agent, SIGKILL);
		usleep(pause);
		proc_restart(s, w->agent);
		break;
	case 1:
		proc_signal(s, w->agent, SIGSTOP);
		usleep(pause * 2);
		proc_signal(s, w->agent, SIGCONT);
		break;
	case 2:
		relay_set(w->relay, RELAY_CUT);
		usleep(pause);
		relay_set(w->relay, RELAY_OPEN);
		break;
	case 3:
		relay_set(w->relay, RELAY_HOLD);
		usleep(pause * 2);
		relay_set(w->relay, RELAY_OPEN);
		break;
	case 4:
		do_store(s, words);
		usleep(pause);
		words[1] = "up";
		do_store(s, words);
		break;
	case 5:
		words[1] = "drop";
		words[2] = "3";
		do_store(s, words);
		break;
	case 6:
		words[1] = "expire";
		do_store(s, words);
		break;
	case 7:
		proc_signal(s, w->upstream, SIGKILL);
		usleep(pause);
		proc_restart(s, w->upstream);
		break;
	default:
		proc_signal(s, e, SIGSTOP);
		usleep(pause / 2);
		proc_signal(s, e, SIGCONT);
		break;
	}
	s->last_fault_at = now_ns();
}

/*
 * mix JOBS SECONDS: submit random jobs under random faults. No fault is injected during the
 * last tenth of the jobs.
 */
static void do_mix(struct scenario *s, char **w)
{
	static const char *const words[][6] = {
		{"submit", "x", "idempotent", "acc=1", NULL},
		{"submit", "x", "acc=1", "org=beta", NULL},
		{"submit", "x", "acc=16", "within=rack", "idempotent", NULL},
		{"submit", "x", "acc=2", "async", NULL},
		{"submit", "x", "acc=12", "within=rack", "org=beta", NULL},
		{"submit", "x", "idempotent", "async", "org=beta", NULL},
	};
	int jobs = atoi(w[1]);
	int64_t step = atoi(w[2]) * NSEC_PER_SEC / jobs;
	int64_t next_fault = now_ns() + 2 * NSEC_PER_SEC;

	for (int i = 0; i < jobs; i++) {
		int kind = g_rand_int_range(s->rand, 0, ARRAY_LEN(words));
		g_autofree char *name = g_strdup_printf("m%d", i);
		g_autofree char *sleep =
			g_strdup_printf("sleep=%d", g_rand_int_range(s->rand, 5, 300));
		char *all[8] = {0};
		int n = 0;

		for (; words[kind][n] != NULL; n++)
			all[n] = (char *)words[kind][n];
		all[n] = sleep;
		submit_job(s, name, all);
		usleep((useconds_t)(step / 1000));
		proc_check_crashes(s);
		if (now_ns() > next_fault && i < jobs * 9 / 10) {
			random_fault(s);
			next_fault =
				now_ns() + g_rand_int_range(s->rand, 300, 2500) * NSEC_PER_MSEC;
		}
	}
}

/* kill NAME: send SIGKILL. */
static void do_kill(struct scenario *s, char **w)
{
	signal_target(s, resolve_name(s, w[1]), SIGKILL);
}

/* pause NAME: send SIGSTOP. */
static void do_pause(struct scenario *s, char **w)
{
	signal_target(s, resolve_name(s, w[1]), SIGSTOP);
}

/* resume NAME: send SIGCONT. */
static void do_resume(struct scenario *s, char **w)
{
	signal_target(s, w[1], SIGCONT);
}

/* resume-all: send SIGCONT to all processes. */
static void do_resume_all(struct scenario *s, char **w)
{
	(void)w;
	for (guint i = 0; i < s->procs->len; i++) {
		struct proc *p = s->procs->pdata[i];

		if (p->pid > 0)
			kill(p->pid, SIGCONT);
	}
	s->last_fault_at = now_ns();
}

/* term NAME: send SIGTERM without waiting for the exit. */
static void do_term(struct scenario *s, char **w)
{
	signal_target(s, resolve_name(s, w[1]), SIGTERM);
}

/* wait DURATION */
static void do_wait(struct scenario *s, char **w)
{
	int64_t ns = 0;

	if (!duration_parse(w[1], &ns))
		fail(s, "invalid duration '%s'", w[1]);
	usleep((useconds_t)(ns / 1000));
}

/* expect-config N: check that every entry has at least this configuration number. */
static void do_expect_config(struct scenario *s, char **w)
{
	if (!all_entries_have_config(s, atoi(w[1])))
		fail(s, "configuration number %s is not in force at every entry", w[1]);
}

static const struct command {
	const char *name;
	int words; /* minimum number of words, including the name */
	void (*exec)(struct scenario *s, char **w);
} commands[] = {
	{"store", 1, do_store},
	{"entry", 2, do_entry},
	{"worker", 2, do_worker},
	{"config", 2, do_config},
	{"await", 2, do_await},
	{"submit", 2, do_submit},
	{"expect", 3, do_expect},
	{"expect-all", 3, do_expect_all},
	{"expect-config", 2, do_expect_config},
	{"runs", 3, do_runs},
	{"cancel", 2, do_cancel},
	{"kill", 2, do_kill},
	{"pause", 2, do_pause},
	{"resume", 2, do_resume},
	{"resume-all", 1, do_resume_all},
	{"restart", 2, do_restart},
	{"stop", 2, do_stop},
	{"term", 2, do_term},
	{"link", 3, do_link},
	{"probe", 1, do_probe},
	{"race", 3, do_race},
	{"set", 5, do_set},
	{"raw", 2, do_raw},
	{"mix", 3, do_mix},
	{"wait", 2, do_wait},
};

/* Run a command, then check the configuration numbers and look for crashed processes. */
static void run_line(struct scenario *s, const char *line)
{
	g_auto(GStrv) w = NULL;
	int argc = 0;

	if (!g_shell_parse_argv(line, &argc, &w, NULL))
		return;
	for (size_t i = 0; i < ARRAY_LEN(commands); i++) {
		if (strcmp(commands[i].name, w[0]) != 0)
			continue;
		if (argc < commands[i].words)
			fail(s, "%s: missing argument", w[0]);
		else
			commands[i].exec(s, w);
		check_config_numbers(s);
		proc_check_crashes(s);
		return;
	}
	fail(s, "unknown command %s", w[0]);
}

/* Run the commands of a file; "include FILE" runs another file. */
static void run_file(struct scenario *s, const char *path)
{
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL)) {
		fail(s, "cannot read %s", path);
		return;
	}
	lines = g_strsplit(text, "\n", -1);
	for (int i = 0; lines[i] != NULL; i++) {
		const char *line = g_strstrip(lines[i]);

		s->line = i + 1;
		if (*line == '\0' || *line == '#')
			continue;
		if (g_str_has_prefix(line, "include "))
			run_file(s, line + 8);
		else
			run_line(s, line);
	}
}

/* Wait for all jobs, then count the violations. */
static void check_results(struct scenario *s)
{
	for (guint i = 0; i < s->jobs->len; i++) {
		struct job *j = s->jobs->pdata[i];

		wait_for_outcome(s, j);
		if (j->thread_started && __atomic_load_n(&j->call_returned, __ATOMIC_ACQUIRE))
			pthread_join(j->thread, NULL);
		if (!__atomic_load_n(&j->call_returned, __ATOMIC_ACQUIRE) ||
			(j->outcome == NULL && !j->cut)) {
			fprintf(stderr, "%s: job %s has no outcome (%s)\n", s->file, j->name,
				j->id ? j->id : "no ID");
			s->counts.lost++;
		}
		if (j->cut) {
			struct proc *e =
				j->entry_name != NULL ? proc_find(s, j->entry_name) : NULL;

			if (e == NULL || !e->killed)
				s->counts.cut++;
		}
	}
	audit_check_runs(s);
}

/* Kill all processes and free the relays. */
static void kill_all_procs(struct scenario *s)
{
	for (guint i = 0; i < s->procs->len; i++) {
		struct proc *p = s->procs->pdata[i];

		if (p->pid > 0) {
			kill(p->pid, SIGKILL);
			waitpid(p->pid, NULL, 0);
		}
	}
	for (guint i = 0; i < s->workers->len; i++)
		relay_free(((struct worker *)s->workers->pdata[i])->relay);
}

/* Print the logs of all processes. */
static void print_logs(struct scenario *s)
{
	for (guint i = 0; i < s->procs->len; i++) {
		const struct proc *p = s->procs->pdata[i];
		g_autofree char *text = NULL;

		if (g_file_get_contents(p->log, &text, NULL, NULL))
			fprintf(stderr, "--- %s\n%s", p->name, text);
	}
}

/*
 * usage: run-scenario BIN FILE [SEED]
 *
 * BIN is the folder of the programs. Prints a line of results and exits with 1 on a violation;
 * the output files of the processes are kept then, and their logs are printed if SCENARIO_LOGS
 * is set.
 */
int main(int argc, char **argv)
{
	struct scenario s = {.procs = g_ptr_array_new_with_free_func(proc_free),
		.workers = g_ptr_array_new_with_free_func(free),
		.jobs = g_ptr_array_new(),
		.config_numbers =
			g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free)};
	uint32_t seed = argc > 3 ? (uint32_t)atoi(argv[3]) : 1;
	g_autofree char *base = NULL;
	struct scenario_counts *c = &s.counts;
	uint32_t violations;

	if (argc < 3) {
		fprintf(stderr, "usage: run-scenario BIN FILE [SEED]\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	s.bin = argv[1];
	s.file = argv[2];
	s.dir = g_dir_make_tmp("damaskpath-XXXXXX", NULL);
	s.rand = g_rand_new_with_seed(seed);
	run_file(&s, argv[2]);
	check_results(&s);
	violations = c->lost + c->doubled + c->partial + c->false_not_run + c->cut +
		     c->reverted + c->failed;
	kill_all_procs(&s);
	base = g_path_get_basename(argv[2]);
	printf("fault name=%.*s runs=%u jobs=%u lost=%u doubled=%u partial_over_bound=%u "
	       "false_not_run=%u cut=%u reverted=%u failed=%u recovery_s=%.2f\n",
		(int)strcspn(base, "."), base, c->runs, s.jobs->len, c->lost, c->doubled,
		c->partial, c->false_not_run, c->cut, c->reverted, c->failed, c->recovery_s);
	if (violations > 0 && getenv("SCENARIO_LOGS") != NULL)
		print_logs(&s);
	if (violations > 0)
		fprintf(stderr, "%s: output files are in %s\n", s.file, s.dir);
	else {
		g_autofree char *dir = g_strdup_printf("%s", s.dir);
		GDir *d = g_dir_open(dir, 0, NULL);
		const char *name;

		while (d != NULL && (name = g_dir_read_name(d)) != NULL) {
			g_autofree char *path = g_build_filename(dir, name, NULL);

			unlink(path);
		}
		if (d != NULL)
			g_dir_close(d);
		rmdir(dir);
	}
	return violations == 0 ? 0 : 1;
}
