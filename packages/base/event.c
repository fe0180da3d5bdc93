#include "base.h"

#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>

/*
 * Structured log events on standard output, one logfmt line per event. Operators search them
 * with grep; each line has a time and a process name. Lines are buffered in memory and written
 * only when the output is writable, in chunks that a pipe accepts without blocking, so that a
 * stalled reader never blocks the process.
 */

#define PENDING_MAX	    (256u * 1024) /* bytes buffered for a slow reader */
#define WRITE_MAX	    4096u /* bytes; a writable pipe accepts them without blocking */
#define EVENT_LINES_PER_S   40u	  /* lines per second and event */
#define PROCESS_LINES_PER_S 200u  /* lines per second for all events of a process */
#define FIELDS_MAX_LEN	    1024 /* bytes for all fields of an event and a NUL; the rest is cut */

COUNTER(lines_dropped, "damaskpath_log_dropped_total",
	"Log lines dropped for a slow reader or over the rate.");

const struct event_info event_infos[EVENT_COUNT] = {
#define EVENT(id, name, fields, help) [id] = {name, fields, help},
#include "event-table.h"
#undef EVENT
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GString *pending;
static char *process_name;
static int64_t rate_window_s; /* wall-clock second that the line counts below are for */
static unsigned int lines_in_second;
static unsigned int event_lines_in_second[EVENT_COUNT];
static uint64_t dropped_since_report;

/* Set the process name that is written in each line. */
void event_set_process(const char *name)
{
	pthread_mutex_lock(&lock);
	g_free(process_name);
	process_name = g_strdup(name);
	pthread_mutex_unlock(&lock);
}

/* Append a line, or drop it if the buffer is full. Call with the lock held. */
static void append_line(int64_t wall_ns, const char *name, const char *text)
{
	int64_t ms = wall_ns / NSEC_PER_MSEC;

	if (pending == NULL)
		pending = g_string_sized_new(WRITE_MAX);
	if (pending->len > PENDING_MAX) {
		counter_add(&lines_dropped, 1);
		dropped_since_report++;
		return;
	}
	g_string_append_printf(pending, "t=%" G_GINT64_FORMAT ".%03d p=%s ev=%s %s\n",
		(gint64)(ms / 1000), (int)(ms % 1000), process_name ? process_name : "-", name,
		text);
}

/*
 * Reset the rate limits when a new second has begun, and report the lines dropped before it.
 * Call with the lock held.
 */
static void update_rate_window(int64_t wall_ns)
{
	AUTOFREE char *text = NULL;

	if (wall_ns / NSEC_PER_SEC == rate_window_s)
		return;
	rate_window_s = wall_ns / NSEC_PER_SEC;
	lines_in_second = 0;
	memset(event_lines_in_second, 0, sizeof(event_lines_in_second));
	if (dropped_since_report == 0)
		return;
	xasprintf(&text, "lines=%llu", (unsigned long long)dropped_since_report);
	dropped_since_report = 0;
	append_line(wall_ns, event_infos[EV_LOG_DROPPED].name, text);
}

/* Count a line against the rate limits. Return whether it may be written. */
static bool take_line(enum event_id id, int64_t wall_ns)
{
	bool allowed;

	pthread_mutex_lock(&lock);
	update_rate_window(wall_ns);
	allowed = lines_in_second < PROCESS_LINES_PER_S &&
		  event_lines_in_second[id] < EVENT_LINES_PER_S;
	if (allowed) {
		lines_in_second++;
		event_lines_in_second[id]++;
	} else {
		counter_add(&lines_dropped, 1);
		dropped_since_report++;
	}
	pthread_mutex_unlock(&lock);
	return allowed;
}

/* Log an event, with its fields formatted as logfmt by fmt. May be called from any thread. */
void event_log(enum event_id id, const char *fmt, ...)
{
	char text[FIELDS_MAX_LEN];
	int64_t wall_ns = clock_wall(&clock_system);
	va_list ap;

	if (!take_line(id, wall_ns))
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	for (char *p = text; *p != '\0'; p++) {
		if ((unsigned char)*p < 0x20)
			*p = ' ';
	}
	pthread_mutex_lock(&lock);
	append_line(wall_ns, event_infos[id].name, text);
	pthread_mutex_unlock(&lock);
}

/* Return whether a write of up to WRITE_MAX bytes will not block. */
static bool can_write(int fd)
{
	struct pollfd p = {.fd = fd, .events = POLLOUT};

	return poll(&p, 1, 0) == 1 && (p.revents & POLLOUT) != 0;
}

/*
 * Write buffered lines while the output accepts them; discard them on a write error. Called
 * periodically from the event loop.
 */
void event_flush(void)
{
	pthread_mutex_lock(&lock);
	while (pending != NULL && pending->len > 0 && can_write(STDOUT_FILENO)) {
		ssize_t n = write(STDOUT_FILENO, pending->str, MIN(pending->len, WRITE_MAX));

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0) {
			g_string_truncate(pending, 0);
			break;
		}
		g_string_erase(pending, 0, n);
	}
	pthread_mutex_unlock(&lock);
}

/* Print the table of events. */
void event_help(FILE *out)
{
	for (size_t i = 0; i < EVENT_COUNT; i++)
		fprintf(out, "%-22s %-46s %s\n", event_infos[i].name, event_infos[i].fields,
			event_infos[i].help);
}
