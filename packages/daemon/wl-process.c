#include "wl-daemon.h"

#include <inttypes.h>
#include <malloc.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "daemon.h"

#define STOP_CHECK_PERIOD (50 * NSEC_PER_MSEC)
/* Exits this long before the platform's time for a stop runs out. */
#define STOP_MARGIN  (700 * NSEC_PER_MSEC)
#define FLUSH_PERIOD (250 * NSEC_PER_MSEC)
/* A store call that takes longer counts as unanswered. */
#define STORE_CALL_TIMEOUT (1200 * NSEC_PER_MSEC)

/* Part of the machine's memory that clients and peers may make a process use. */
#define BUDGET_DIVISOR 4
#define BUDGET_MIN     ((size_t)8 * 1024 * 1024)
/*
 * Blocks of this size go back to the system when they are freed. By default glibc raises this
 * with the size of freed blocks; buffers of a few MiB then leave gaps in the heap.
 */
#define MMAP_THRESHOLD (128 * 1024)
/* Descriptors kept for what a process opens itself: the store, peers, the worker, listening. */
#define DESCRIPTORS_RESERVED 128

/* Of the metrics listener alone, so that other clients can't use up its memory. */
#define METRICS_BUDGET ((size_t)2 * 1024 * 1024)

/* The running process: its role, its signals and its stop. */
struct wl_daemon {
	struct wl_process process;
	struct wl_entry *entry;
	struct wl_agent *agent;
	struct http_server *metrics_server;
	int signal_fd;
	bool stopping;
	int64_t stop_deadline;
};

static void serve_metrics(struct http_request *r, void *arg)
{
	g_autofree char *counters = counter_render();
	GString *out = g_string_new(counters);

	(void)arg;
	histogram_render(out);
	http_reply(r, 200, "text/plain; version=0.0.4", out->str, out->len);
	g_string_free(out, TRUE);
}

/* Writes the buffered log lines. */
static void flush_log(void *arg)
{
	(void)arg;
	event_flush();
}

/* While stopping: exits once nothing is in flight, or at the deadline. */
static void exit_if_idle(void *arg)
{
	struct wl_daemon *p = arg;
	bool idle = (p->entry == NULL || wl_entry_idle(p->entry)) &&
		    (p->agent == NULL || wl_agent_idle(p->agent));

	if (!idle && loop_now(p->process.loop) < p->stop_deadline)
		return;
	/* limit: the deadline of the stop has passed */
	event_log(EV_STOP, "why=%s", idle ? "idle" : "limit");
	loop_stop(p->process.loop);
}

/* Reads the settings again and logs the result; they take effect at the next restart. */
static void check_settings(struct wl_daemon *p)
{
	struct pf_settings s;
	g_autoptr(GError) err = NULL;

	if (!pf_settings_read(&s, &err)) {
		event_log(EV_RELOAD, "ok=0 error=\"%s\"", err->message);
		return;
	}
	/* ok=1: the settings are valid; nothing was reloaded */
	event_log(EV_RELOAD, "ok=1 store_changed=%d",
		g_strcmp0(s.store_addr, p->process.settings.store_addr) != 0);
	pf_settings_clear(&s);
}

static void on_signal(uint32_t events, void *arg)
{
	struct wl_daemon *p = arg;
	struct signalfd_siginfo info;

	(void)events;
	if (read(p->signal_fd, &info, sizeof(info)) != sizeof(info))
		return;
	if (info.ssi_signo == SIGHUP) {
		check_settings(p);
		return;
	}
	if (p->stopping)
		return;
	event_log(EV_STOP, "why=signal number=%u", info.ssi_signo);
	p->stopping = true;
	p->stop_deadline =
		loop_now(p->process.loop) + p->process.settings.stop_grace - STOP_MARGIN;
	if (p->entry != NULL)
		wl_entry_stop(p->entry);
	if (p->agent != NULL)
		wl_agent_stop(p->agent);
	loop_timer_add(p->process.loop, STOP_CHECK_PERIOD, STOP_CHECK_PERIOD, exit_if_idle, p);
}

/* Serves metrics unless port is 0. */
static bool start_metrics_server(struct wl_daemon *p, int64_t port, GError **err)
{
	struct http_limits limits = {.body_max = 1024,
		.connections_max = 16,
		.idle_timeout_s = 30,
		.threads = 1,
		.header_timeout_s = HTTP_HEADER_TIMEOUT_S,
		.body_timeout_s = HTTP_BODY_TIMEOUT_S};
	g_autofree char *addr = NULL;

	if (port == 0)
		return true;
	limits.budget = budget_new(METRICS_BUDGET);
	addr = g_strdup_printf("%s:%" PRId64, p->process.settings.ip, port);
	p->metrics_server = http_server_new(addr, &limits, serve_metrics, p, err);
	return p->metrics_server != NULL;
}

/* Derives from the machine's limits what clients may use of them. */
static void init_limits(struct wl_process *w)
{
	const struct pf_settings *s = &w->settings;

	mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD);
	w->budget = budget_new(MAX(s->memory_max / BUDGET_DIVISOR, BUDGET_MIN));
	w->connections_max = s->descriptors_max > DESCRIPTORS_RESERVED
				     ? s->descriptors_max - DESCRIPTORS_RESERVED
				     : 1;
}

/* Sets up what both roles need. */
static bool init_process(struct wl_daemon *p, const struct options *o, GError **err)
{
	struct wl_process *w = &p->process;

	if (!pf_settings_read(&w->settings, err))
		return false;
	w->keys = keyring_parse(options_string(o, "peer-keys"), err);
	if (w->keys == NULL)
		return false;
	event_set_process(w->settings.node);
	init_limits(w);
	w->loop = loop_new(&clock_system);
	w->http = http_client_new(w->loop);
	w->kv = pf_store_new(w->loop, w->http, w->settings.store_addr, STORE_CALL_TIMEOUT);
	loop_timer_add(w->loop, FLUSH_PERIOD, FLUSH_PERIOD, flush_log, NULL);
	return start_metrics_server(p, options_number(o, "metrics-port"), err);
}

/*
 * Ends the process. The threads of the HTTP servers and of the HTTP client are still running
 * and use the loop and the settings, so neither may this file's functions return, nor may exit
 * handlers free what libraries share. Nothing else is to be done: the store and the worker have
 * what counts, and calls under way are abandoned.
 */
G_NORETURN static void end_process(int status)
{
	event_flush();
	_exit(status);
}

/* Runs a role until the process is stopped, and ends the process. */
void wl_process_run(enum wl_role role, const struct options *o)
{
	struct wl_daemon p = {.signal_fd = process_open_signalfd(true)};
	g_autoptr(GError) err = NULL;
	bool ok = init_process(&p, o, &err);

	if (ok && role == WL_ROLE_ENTRY) {
		p.process.detour = wl_detour_new(&p.process);
		ok = (p.entry = wl_entry_new(&p.process, &err)) != NULL;
	}
	if (ok && role == WL_ROLE_AGENT)
		ok = (p.agent = wl_agent_new(&p.process, &err)) != NULL;
	if (!ok) {
		fprintf(stderr, "damaskpathd: %s\n", err->message);
		end_process(error_kind_of(err) == ERR_INVALID ? 2 : 1);
	}
	event_log(EV_START, "role=%s zone=%s version=%s",
		role == WL_ROLE_ENTRY ? "entry" : "agent", p.process.settings.zone, DP_VERSION);
	loop_add_fd(p.process.loop, p.signal_fd, EPOLLIN, on_signal, &p);
	loop_run(p.process.loop);
	event_log(EV_STOP, "why=done");
	end_process(0);
}
