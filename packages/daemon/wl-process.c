#include "wl-daemon.h"

#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "daemon.h"

#define STOP_PERIOD (50 * NSEC_PER_MSEC)
/* Kept of the time that the platform grants for a stop. */
#define STOP_MARGIN  (700 * NSEC_PER_MSEC)
#define FLUSH_PERIOD (250 * NSEC_PER_MSEC)
/* A call to the store that takes longer counts as unanswered. */
#define STORE_TIMEOUT (1200 * NSEC_PER_MSEC)

struct wl_program {
	struct wl_process process;
	struct wl_entry *entry;
	struct wl_agent *agent;
	struct http_server *metrics;
	int signal_fd;
	bool stopping;
	int64_t stop_at;
};

/* Metrics as text. */
static void on_metrics(struct http_request *r, void *arg)
{
	g_autofree char *counters = counter_render();
	GString *out = g_string_new(counters);

	(void)arg;
	histogram_render(out);
	http_reply(r, 200, "text/plain; version=0.0.4", out->str, out->len);
	g_string_free(out, TRUE);
}

/* Write out the log lines that wait. */
static void on_flush(void *arg)
{
	(void)arg;
	event_flush();
}

/* While stopping: end when nothing is in flight, or at the limit. */
static void check_stopped(void *arg)
{
	struct wl_program *p = arg;
	bool idle = (p->entry == NULL || wl_entry_idle(p->entry)) &&
		    (p->agent == NULL || wl_agent_idle(p->agent));

	if (!idle && loop_now(p->process.loop) < p->stop_at)
		return;
	event_log(EV_STOP, "why=%s", idle ? "idle" : "limit");
	loop_stop(p->process.loop);
}

/* Read the settings again: what is in use stays until the process is started anew. */
static void reload(struct wl_program *p)
{
	struct pf_settings s;
	g_autoptr(GError) err = NULL;

	if (!pf_settings_read(&s, &err)) {
		event_log(EV_RELOAD, "ok=0 error=\"%s\"", err->message);
		return;
	}
	event_log(EV_RELOAD, "ok=1 store_changed=%d",
		g_strcmp0(s.store_addr, p->process.settings.store_addr) != 0);
	pf_settings_clear(&s);
}

/* A signal. */
static void on_signal(uint32_t events, void *arg)
{
	struct wl_program *p = arg;
	struct signalfd_siginfo info;

	(void)events;
	if (read(p->signal_fd, &info, sizeof(info)) != sizeof(info))
		return;
	if (info.ssi_signo == SIGHUP) {
		reload(p);
		return;
	}
	if (p->stopping)
		return;
	event_log(EV_STOP, "why=signal number=%u", info.ssi_signo);
	p->stopping = true;
	p->stop_at = loop_now(p->process.loop) + p->process.settings.stop_grace - STOP_MARGIN;
	if (p->entry != NULL)
		wl_entry_stop(p->entry);
	if (p->agent != NULL)
		wl_agent_stop(p->agent);
	loop_timer_add(p->process.loop, STOP_PERIOD, STOP_PERIOD, check_stopped, p);
}

/* Serve metrics where the settings ask for it. */
static bool open_metrics(struct wl_program *p, int64_t port, GError **err)
{
	const struct http_limits limits = {
		.body_max = 1024, .connections_max = 16, .idle_timeout_s = 30, .threads = 1};
	g_autofree char *addr = NULL;

	if (port == 0)
		return true;
	addr = g_strdup_printf("%s:%" PRId64, p->process.settings.ip, port);
	p->metrics = http_server_new(addr, &limits, on_metrics, p, err);
	return p->metrics != NULL;
}

/* Set up what both roles need. */
static bool open_process(struct wl_program *p, const struct options *o, GError **err)
{
	struct wl_process *w = &p->process;

	if (!pf_settings_read(&w->settings, err))
		return false;
	w->keys = keyring_parse(options_string(o, "peer-keys"), err);
	if (w->keys == NULL)
		return false;
	event_set_process(w->settings.node);
	w->loop = loop_new(&clock_system);
	w->http = http_client_new(w->loop);
	w->kv = pf_store_new(w->loop, w->http, w->settings.store_addr, STORE_TIMEOUT);
	loop_timer_add(w->loop, FLUSH_PERIOD, FLUSH_PERIOD, on_flush, NULL);
	return open_metrics(p, options_number(o, "metrics-port"), err);
}

/* Run a role of the platform until it is stopped. */
int wl_process_run(enum wl_role role, const struct options *o)
{
	struct wl_program p = {.signal_fd = process_open_signalfd(true)};
	g_autoptr(GError) err = NULL;
	bool ok = open_process(&p, o, &err);

	if (ok && role == WL_ROLE_ENTRY) {
		wl_detour_new(&p.process);
		ok = (p.entry = wl_entry_new(&p.process, &err)) != NULL;
	}
	if (ok && role == WL_ROLE_AGENT)
		ok = (p.agent = wl_agent_new(&p.process, &err)) != NULL;
	if (!ok) {
		fprintf(stderr, "damaskpathd: %s\n", err->message);
		return error_kind_of(err) == ERR_INVALID ? 2 : 1;
	}
	event_log(EV_START, "role=%s zone=%s version=%s",
		role == WL_ROLE_ENTRY ? "entry" : "agent", p.process.settings.zone, DP_VERSION);
	loop_add_fd(p.process.loop, p.signal_fd, EPOLLIN, on_signal, &p);
	loop_run(p.process.loop);
	/* The process ends here; calls under way go with it. */
	event_log(EV_STOP, "why=done");
	event_flush();
	return 0;
}
