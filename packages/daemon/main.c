#include "daemon.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <sys/epoll.h>
#include <unistd.h>

#define EXIT_USAGE	    2
#define STOP_POLL_PERIOD_NS (50 * NSEC_PER_MSEC)

/*
 * The first two are bits and standalone is both of them. The workload roles are plain numbers:
 * they must not be tested for these bits.
 */
enum daemon_role {
	DAEMON_ROLE_ENTRY = 1,
	DAEMON_ROLE_AGENT = 2,
	DAEMON_ROLE_STANDALONE = DAEMON_ROLE_ENTRY | DAEMON_ROLE_AGENT,
	DAEMON_ROLE_WORKLOAD_ENTRY = 4,
	DAEMON_ROLE_WORKLOAD_AGENT = 5
};

static const struct role_entry {
	const char *name;
	enum daemon_role role;
	const char *help;
} roles[] = {
	{"entry", DAEMON_ROLE_ENTRY, "serve callers and operators"},
	{"agent", DAEMON_ROLE_AGENT,
		"run next to an upstream; coordinate the cell while holding its term"},
	{"workload-entry", DAEMON_ROLE_WORKLOAD_ENTRY,
		"serve callers of jobs of steps on the users' platform"},
	{"workload-agent", DAEMON_ROLE_WORKLOAD_AGENT,
		"run next to a worker of the users' platform; coordinate while elected"},
	{"standalone", DAEMON_ROLE_STANDALONE,
		"run an entry and an agent in one process with an in-memory store"},
};

struct program {
	struct process process;
	struct agent *agent;
	struct entry *entry;
	int signal_fd;
	bool stopping;
	int64_t stop_limit_at;
	int exit_code;
};

static void print_usage(FILE *out)
{
	fprintf(out, "usage: damaskpathd ROLE [--SETTING=VALUE ...]\n"
		     "       damaskpathd ROLE --help | --check [...]\n"
		     "       damaskpathd --version | --events\n\nroles:\n");
	for (size_t i = 0; i < ARRAY_LEN(roles); i++)
		fprintf(out, "  %-12s %s\n", roles[i].name, roles[i].help);
}

static const struct role_entry *find_role(const char *name)
{
	for (size_t i = 0; i < ARRAY_LEN(roles); i++) {
		if (strcmp(roles[i].name, name) == 0)
			return &roles[i];
	}
	return NULL;
}

/* Ends a graceful stop once nothing is in flight or the stop limit is reached. */
static void finish_stop_when_idle(void *arg)
{
	struct program *p = arg;
	bool idle = (p->entry == NULL || entry_idle(p->entry)) &&
		    (p->agent == NULL || agent_idle(p->agent));

	if (!idle && loop_now(p->process.loop) < p->stop_limit_at)
		return;
	if (!idle) {
		/* With an agent, what the entry still has in flight is not described. */
		g_autofree char *why = p->agent != NULL
					       ? agent_describe_pending(p->agent)
					       : g_strdup("Callers are waiting for responses.");

		log_warning("main", "The stop limit was reached with work in flight. %s", why);
		p->exit_code = 1;
	}
	loop_stop(p->process.loop);
}

/* Begins a graceful stop on the first signal; later ones are ignored. */
static void handle_stop_signal(uint32_t events, void *arg)
{
	struct program *p = arg;
	struct signalfd_siginfo info;

	(void)events;
	if (read(p->signal_fd, &info, sizeof(info)) != sizeof(info) || p->stopping)
		return;
	log_info("main", "Stopping: accepting no new work, finishing work in flight.");
	p->stopping = true;
	p->stop_limit_at = loop_now(p->process.loop) + p->process.stop_limit_ns;
	if (p->entry != NULL)
		entry_stop(p->entry);
	if (p->agent != NULL)
		agent_stop(p->agent);
	loop_timer_add(p->process.loop, STOP_POLL_PERIOD_NS, STOP_POLL_PERIOD_NS,
		finish_stop_when_idle, p);
}

/* Writes the sections of a configuration file into an empty store. */
static bool load_config_file(struct store *s, const char *path, GError **err)
{
	struct doc_problems problems = STAILQ_HEAD_INITIALIZER(problems);
	g_autoptr(GPtrArray) sections = g_ptr_array_new_with_free_func(doc_section_free);
	g_autofree char *text = NULL;
	bool ok;

	if (!g_file_get_contents(path, &text, NULL, err))
		return false;
	ok = doc_split_sections(text, sections, &problems);
	for (guint i = 0; ok && i < sections->len; i++) {
		struct doc_section *section = sections->pdata[i];
		struct config_edit edit = {.section = section->name,
			.text = section->text,
			.who = "start", /* recorded as the author in the history of edits */
			.wall_ns = clock_wall(&clock_system)};
		uint64_t edit_number;

		ok = config_put(s, &edit, &edit_number, &problems, NULL, err);
	}
	if (!STAILQ_EMPTY(&problems)) {
		const struct doc_problem *p = STAILQ_FIRST(&problems);

		g_clear_error(err);
		error_set(err, ERR_INVALID, "%s:%d:%d: %s: %s", path, p->line, p->column,
			p->key, p->rule);
	}
	doc_problems_clear(&problems);
	return ok;
}

/* Opens etcd, or for standalone an in-memory store with the configured document. */
static bool open_store(struct program *p, enum daemon_role role, GError **err)
{
	struct options *o = p->process.options;

	if (role != DAEMON_ROLE_STANDALONE) {
		p->process.store = store_etcd_new(
			options_string(o, "store"), options_number(o, "store-timeout"));
		return true;
	}
	p->process.store = store_embedded_new(&clock_system);
	return *options_string(o, "config") == '\0' ||
	       load_config_file(p->process.store, options_string(o, "config"), err);
}

/*
 * Runs a role that serves cells (entry, agent or standalone) until stopped. Returns the exit
 * code.
 */
static int run_cell_role(enum daemon_role role, struct options *o)
{
	struct program p = {.signal_fd = process_open_signalfd(false)};
	g_autoptr(GError) err = NULL;
	bool ok = process_init(&p.process, o, &err) && open_store(&p, role, &err);

	if (ok && (role & DAEMON_ROLE_AGENT)) {
		p.agent = agent_new(&p.process, &err);
		ok = p.agent != NULL;
	}
	if (ok && (role & DAEMON_ROLE_ENTRY)) {
		p.entry = entry_new(&p.process, &err);
		ok = p.entry != NULL;
	}
	if (ok) {
		loop_add_fd(p.process.loop, p.signal_fd, EPOLLIN, handle_stop_signal, &p);
		loop_run(p.process.loop);
	} else {
		fprintf(stderr, "damaskpathd: %s\n", err->message);
		p.exit_code = error_kind_of(err) == ERR_INVALID ? EXIT_USAGE : 1;
	}
	/* Requests still arrive. Their handlers use the pool and the loop, so they stop first.
	 */
	if (p.entry != NULL)
		entry_refuse(p.entry);
	if (p.agent != NULL)
		agent_refuse(p.agent);
	process_stop_pool(&p.process);
	if (p.entry != NULL)
		entry_free(p.entry);
	if (p.agent != NULL)
		agent_free(p.agent);
	process_clear(&p.process);
	log_info("main", "Stopped.");
	return p.exit_code;
}

static int run(enum daemon_role role, struct options *o)
{
	if (role == DAEMON_ROLE_WORKLOAD_ENTRY)
		wl_process_run(WL_ROLE_ENTRY, o);
	if (role == DAEMON_ROLE_WORKLOAD_AGENT)
		wl_process_run(WL_ROLE_AGENT, o);
	return run_cell_role(role, o);
}

/* Removes a flag that is not a setting from the arguments; true if it was there. */
static bool take_flag(int *argc, char **argv, const char *flag)
{
	for (int i = 1; i < *argc; i++) {
		if (strcmp(argv[i], flag) != 0)
			continue;
		memmove(&argv[i], &argv[i + 1], (size_t)(*argc - i) * sizeof(*argv));
		(*argc)--;
		return true;
	}
	return false;
}

int main(int argc, char **argv)
{
	const struct role_entry *role;
	g_autoptr(GError) err = NULL;
	struct options *o;
	bool check;
	int code = 0;

	if (argc > 1 && strcmp(argv[1], "--version") == 0) {
		printf("damaskpathd %s\n", DP_VERSION);
		return 0;
	}
	if (argc > 1 && strcmp(argv[1], "--events") == 0) {
		event_help(stdout);
		return 0;
	}
	if (argc > 1 && strcmp(argv[1], "--help") == 0) {
		print_usage(stdout);
		return 0;
	}
	role = argc > 1 ? find_role(argv[1]) : NULL;
	if (role == NULL) {
		print_usage(stderr);
		return EXIT_USAGE;
	}
	argc--;
	argv++;
	if (take_flag(&argc, argv, "--help")) {
		printf("settings of damaskpathd %s:\n", role->name);
		options_help(stdout, settings_table, settings_count, role->name);
		return 0;
	}
	check = take_flag(&argc, argv, "--check");
	o = options_parse(settings_table, settings_count, role->name, argc, argv, &err);
	if (o == NULL) {
		fprintf(stderr, "damaskpathd: %s\n", err->message);
		return EXIT_USAGE;
	}
	if (!check)
		code = run(role->role, o);
	else
		printf("the settings are valid\n");
	options_free(o);
	return code;
}
