#include "base.h"

#include <inttypes.h>

#include <stdlib.h>
#include <string.h>

#define NSEC_PER_MIN  (60 * NSEC_PER_SEC)
#define NSEC_PER_HOUR (60 * NSEC_PER_MIN)

/* Read a system clock in nanoseconds. */
static int64_t read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * NSEC_PER_SEC + ts.tv_nsec;
}

static int64_t system_monotonic(void *arg)
{
	(void)arg;
	/* CLOCK_BOOTTIME also advances while a VM is suspended; CLOCK_MONOTONIC does not. */
	return read_clock(CLOCK_BOOTTIME);
}

static int64_t system_wall(void *arg)
{
	(void)arg;
	return read_clock(CLOCK_REALTIME);
}

const struct clock clock_system = {.monotonic = system_monotonic, .wall = system_wall};

/* Return the monotonic time in nanoseconds. */
int64_t clock_now(const struct clock *c)
{
	return c->monotonic(c->arg);
}

/* Return the wall-clock time in nanoseconds since the Unix epoch. */
int64_t clock_wall(const struct clock *c)
{
	return c->wall(c->arg);
}

/* Format a wall-clock time as ISO 8601 in UTC with milliseconds; the caller frees it. */
char *clock_format_wall(int64_t wall_ns)
{
	time_t secs = (time_t)(wall_ns / NSEC_PER_SEC);
	int ms = (int)(wall_ns % NSEC_PER_SEC / NSEC_PER_MSEC);
	struct tm tm;
	char day[32];
	char *out;

	gmtime_r(&secs, &tm);
	strftime(day, sizeof(day), "%Y-%m-%dT%H:%M:%S", &tm);
	xasprintf(&out, "%s.%03dZ", day, ms);
	return out;
}

#define DURATION_VALUE_MAX 1e9 /* largest number before a unit, for any unit */

/* The unit suffixes of a duration. */
static const struct duration_unit {
	const char *name;
	int64_t ns;
} duration_units[] = {
	{"ms", NSEC_PER_MSEC},
	{"s", NSEC_PER_SEC},
	{"m", NSEC_PER_MIN},
	{"h", NSEC_PER_HOUR},
	{"d", 24 * NSEC_PER_HOUR},
};

/* Parse a duration such as "250ms", "9.4s" or "2h"; the unit is required. */
bool duration_parse(const char *text, int64_t *ns)
{
	char *end;
	double value = g_ascii_strtod(text, &end);

	if (end == text || value < 0 || value > DURATION_VALUE_MAX)
		return false;
	for (size_t i = 0; i < ARRAY_LEN(duration_units); i++) {
		if (strcmp(end, duration_units[i].name) == 0) {
			*ns = (int64_t)(value * (double)duration_units[i].ns);
			return true;
		}
	}
	return false;
}

/* Format a duration in ms, s, m or h, depending on its length; the caller frees it. */
char *duration_format(int64_t ns)
{
	char *out;

	if (ns < NSEC_PER_SEC)
		xasprintf(&out, "%" PRId64 "ms", ns / NSEC_PER_MSEC);
	else if (ns < 10 * NSEC_PER_MIN)
		xasprintf(&out, "%.1fs", (double)ns / (double)NSEC_PER_SEC);
	else if (ns < 3 * NSEC_PER_HOUR)
		xasprintf(&out, "%.1fm", (double)ns / 60.0 / (double)NSEC_PER_SEC);
	else
		xasprintf(&out, "%.1fh", (double)ns / 3600.0 / (double)NSEC_PER_SEC);
	return out;
}
