#include "runner.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define START_TIMEOUT (20 * NSEC_PER_SEC)

/* 10000 to 29999, below the default ephemeral ports of Linux, which start at 32768. */
#define PORT_FIRST	10000
#define PORT_RANGES	500
#define PORTS_PER_RANGE 40

/* Find a process by name. */
struct proc *proc_find(struct scenario *s, const char *name)
{
	for (guint i = 0; i < s->procs->len; i++) {
		struct proc *p = s->procs->pdata[i];

		if (strcmp(p->name, name) == 0)
			return p;
	}
	return NULL;
}

/* Fork and execute a process; its output is appended to its files. */
static void spawn(struct proc *p)
{
	p->killed = false;
	p->stopping = false;
	p->pid = fork();
	if (p->pid != 0)
		return;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (p->node_file != NULL)
		setenv("DAMASKPATH_NODE_FILE", p->node_file, 1);
	dup2(open(p->out, O_WRONLY | O_CREAT | O_APPEND, 0600), 1);
	dup2(open(p->log, O_WRONLY | O_CREAT | O_APPEND, 0600), 2);
	execv(p->argv[0], p->argv);
	_exit(127);
}

/*
 * Return the latest address that a process has printed after "ready " or logged after "http="
 * or "upstream=", or NULL. For a process that logs none of them it is the role from its start
 * event, which only shows that the process has started.
 */
static char *find_addr(const struct proc *p)
{
	static const char *const prefixes[] = {
		"ready ", "http=", "upstream=", "ev=start role="};
	g_autofree char *out = NULL;
	g_autofree char *log = NULL;
	g_autofree char *output = NULL;

	g_file_get_contents(p->out, &out, NULL, NULL);
	g_file_get_contents(p->log, &log, NULL, NULL);
	output = g_strconcat(out ? out : "", log ? log : "", NULL);
	for (size_t i = 0; i < ARRAY_LEN(prefixes); i++) {
		const char *at = g_strrstr(output, prefixes[i]);

		if (at == NULL)
			continue;
		at += strlen(prefixes[i]);
		if (strpbrk(at, " \n") != NULL)
			return g_strndup(at, (gsize)(strpbrk(at, " \n") - at));
	}
	return NULL;
}

/* Wait until a process has reported its address. */
static void wait_until_ready(struct scenario *s, struct proc *p)
{
	int64_t limit = now_ns() + START_TIMEOUT;

	g_free(p->addr);
	p->addr = NULL;
	while (p->addr == NULL && now_ns() < limit) {
		p->addr = find_addr(p);
		if (p->addr == NULL)
			usleep(5000);
	}
	if (p->addr == NULL)
		fail(s, "%s did not report that it is ready", p->name);
}

/* Start a process and wait until it is ready; takes ownership of argv. */
struct proc *proc_start(struct scenario *s, const char *name, char **argv)
{
	return proc_start_with_node_file(s, name, argv, NULL);
}

/*
 * Like proc_start(), with the path of the platform's settings file in DAMASKPATH_NODE_FILE
 * unless it is NULL.
 */
struct proc *proc_start_with_node_file(
	struct scenario *s, const char *name, char **argv, const char *node_file)
{
	struct proc *p = xcalloc(1, sizeof(*p));

	p->node_file = xstrdup(node_file);
	g_strlcpy(p->name, name, sizeof(p->name));
	p->kill_times = g_array_new(FALSE, TRUE, sizeof(int64_t));
	p->argv = argv;
	xasprintf(&p->out, "%s/%s.out", s->dir, name);
	xasprintf(&p->log, "%s/%s.log", s->dir, name);
	g_ptr_array_add(s->procs, p);
	spawn(p);
	wait_until_ready(s, p);
	return p;
}

/* Start a process again with the same arguments, without waiting until it is ready. */
void proc_restart(struct scenario *s, struct proc *p)
{
	(void)s;
	spawn(p);
}

/* Send a signal and wait for the exit after SIGKILL; false if the process is not running. */
bool proc_signal(struct scenario *s, struct proc *p, int sig)
{
	s->last_fault_at = now_ns();
	if (p == NULL || p->pid <= 0)
		return false;
	if (sig == SIGKILL) {
		int64_t at = now_ns();

		p->killed = true;
		g_array_append_val(p->kill_times, at);
	}
	if (sig == SIGTERM)
		p->stopping = true;
	kill(p->pid, sig);
	if (sig == SIGKILL) {
		waitpid(p->pid, NULL, 0);
		p->pid = 0;
	}
	return true;
}

/* Report the processes that ended without being stopped or killed. */
void proc_check_crashes(struct scenario *s)
{
	for (guint i = 0; i < s->procs->len; i++) {
		struct proc *p = s->procs->pdata[i];
		int status = 0;

		if (p->pid <= 0 || p->stopping || waitpid(p->pid, &status, WNOHANG) != p->pid)
			continue;
		p->pid = 0;
		fail(s, "%s ended unexpectedly with %s %d", p->name,
			WIFSIGNALED(status) ? "signal" : "exit code",
			WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
	}
}

/*
 * Wait for a process to end. Returns its exit code, 128 plus the signal that ended it, or -1 if
 * it was killed here because the timeout passed.
 */
int proc_reap(struct proc *p, int64_t timeout_ns)
{
	int64_t until = now_ns() + timeout_ns;
	int status = 0;

	if (p->pid <= 0)
		return 0;
	while (waitpid(p->pid, &status, WNOHANG) == 0) {
		if (now_ns() > until) {
			kill(p->pid, SIGKILL);
			waitpid(p->pid, &status, 0);
			p->pid = 0;
			return -1;
		}
		usleep(5000);
	}
	p->pid = 0;
	return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

/* Free a struct proc. */
void proc_free(void *arg)
{
	struct proc *p = arg;

	g_array_unref(p->kill_times);
	g_strfreev(p->argv);
	free(p->out);
	free(p->log);
	free(p->node_file);
	g_free(p->addr);
	free(p);
}

/*
 * Return the index of a port range that no other runner uses. The lock on its file is held
 * until this process exits. If all are locked, the range is not exclusive.
 */
static int lock_port_range(void)
{
	static int lock = -1;

	for (int i = 0; i < PORT_RANGES; i++) {
		int range = (getpid() + i) % PORT_RANGES;
		g_autofree char *path = g_strdup_printf("/tmp/damaskpath-ports.%d", range);

		lock = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
		if (lock >= 0 && flock(lock, LOCK_EX | LOCK_NB) == 0)
			return range;
		if (lock >= 0)
			close(lock);
	}
	return getpid() % PORT_RANGES;
}

/*
 * Return a loopback address that is not in use. Its port is below the ephemeral ports and in a
 * range of this runner, so that nothing else takes it while its process is being restarted.
 */
char *unused_addr(void)
{
	static int range = -1;
	static int used;

	if (range < 0)
		range = lock_port_range();
	for (;;) {
		int port = PORT_FIRST + range * PORTS_PER_RANGE + used++ % PORTS_PER_RANGE;
		g_autofree char *candidate = g_strdup_printf("127.0.0.1:%d", port);
		char *addr = NULL;
		int fd = addr_listen(candidate, &addr, NULL);

		if (fd < 0)
			continue;
		close(fd);
		return addr;
	}
}
