#include "base.h"

#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>

/*
 * Structured log lines on standard output, one logfmt line an event: operators read them with
 * grep, and damaskpath trace merges them. Lines wait in memory and are written in pieces that a
 * pipe takes whole, only when it has room, so a reader that stops never blocks the process.
 */

#define BUFFER_MAX    (256u * 1024) /* bytes that wait for a slow reader */
#define PIECE_MAX     4096u	    /* what a pipe takes without blocking once it has room */
#define KIND_PER_S    40u	    /* lines a second of one event; 200 a process in all */
#define PROCESS_PER_S 200u
#define LINE_MAX_LEN  1024

COUNTER(lines_dropped, "damaskpath_log_dropped_total",
	"Log lines dropped for a slow reader or over the rate.");

const struct event_info event_infos[EVENT_COUNT] = {
#define EVENT(id, name, fields, help) [id] = {name, fields, help},
#include "event-table.h"
#undef EVENT
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GString *buffer;
static char *process_name;
static int64_t second;
static unsigned int in_second;
static unsigned int of_kind[EVENT_COUNT];
static uint64_t dropped_in_second;

/* Name the process in each line that follows. */
void event_set_process(const char *name)
{
	pthread_mutex_lock(&lock);
	g_free(process_name);
	process_name = g_strdup(name);
	pthread_mutex_unlock(&lock);
}

/* Append a line. Under the lock. */
static void append_line(int64_t wall, const char *name, const char *text)
{
	int64_t ms = wall / NSEC_PER_MSEC;

	if (buffer == NULL)
		buffer = g_string_sized_new(PIECE_MAX);
	if (buffer->len > BUFFER_MAX) {
		counter_add(&lines_dropped, 1);
		dropped_in_second++;
		return;
	}
	g_string_append_printf(buffer, "t=%" G_GINT64_FORMAT ".%03d p=%s ev=%s %s\n",
		(gint64)(ms / 1000), (int)(ms % 1000), process_name ? process_name : "-", name,
		text);
}

/* Begin a new second of the rates where one has begun. Under the lock. */
static void roll_second(int64_t wall)
{
	AUTOFREE char *text = NULL;

	if (wall / NSEC_PER_SEC == second)
		return;
	second = wall / NSEC_PER_SEC;
	in_second = 0;
	memset(of_kind, 0, sizeof(of_kind));
	if (dropped_in_second == 0)
		return;
	xasprintf(&text, "lines=%llu", (unsigned long long)dropped_in_second);
	dropped_in_second = 0;
	append_line(wall, event_infos[EV_LOG_DROPPED].name, text);
}

/* Log one event; fmt gives its fields as logfmt. From any thread. */
void event_log(enum event_id id, const char *fmt, ...)
{
	char text[LINE_MAX_LEN];
	int64_t wall = clock_wall(&clock_system);
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	for (char *p = text; *p != '\0'; p++) {
		if ((unsigned char)*p < 0x20)
			*p = ' ';
	}
	pthread_mutex_lock(&lock);
	roll_second(wall);
	if (in_second >= PROCESS_PER_S || of_kind[id] >= KIND_PER_S) {
		counter_add(&lines_dropped, 1);
		dropped_in_second++;
	} else {
		in_second++;
		of_kind[id]++;
		append_line(wall, event_infos[id].name, text);
	}
	pthread_mutex_unlock(&lock);
}

/* Whether a write of one piece cannot block. */
static bool can_write(int fd)
{
	struct pollfd p = {.fd = fd, .events = POLLOUT};

	return poll(&p, 1, 0) == 1 && (p.revents & POLLOUT) != 0;
}

/* Write what waits, as far as the reader takes it. Called from the loop now and then. */
void event_flush(void)
{
	pthread_mutex_lock(&lock);
	while (buffer != NULL && buffer->len > 0 && can_write(STDOUT_FILENO)) {
		ssize_t n = write(STDOUT_FILENO, buffer->str, MIN(buffer->len, PIECE_MAX));

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0) {
			g_string_truncate(buffer, 0);
			break;
		}
		g_string_erase(buffer, 0, n);
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
