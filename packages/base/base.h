#ifndef DP_BASE_H
#define DP_BASE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/queue.h>
#include <time.h>

#define DP_VERSION "0.1.0"

#define NSEC_PER_SEC  INT64_C(1000000000)
#define NSEC_PER_MSEC INT64_C(1000000)

#define ARRAY_LEN(a) (sizeof(a) / sizeof((a)[0]))

/* xmalloc.c: memory allocation that aborts on failure. */
void *xmalloc(size_t size);
void *xcalloc(size_t count, size_t size);
void *xreallocarray(void *ptr, size_t count, size_t size);
char *xstrdup(const char *s);
void xasprintf(char **out, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
void xfreep(void *p);
#define CLEANUP(fn) __attribute__((cleanup(fn)))
#define AUTOFREE    CLEANUP(xfreep)

/* bytes.c: byte strings that own their memory. */
struct bytes {
	void *data;
	size_t len;
};
struct bytes bytes_copy(const void *data, size_t len);
void bytes_clear(struct bytes *b);

/*
 * error.c: all error kinds. error_infos[] says how each is reported to a caller. An error that
 * is only handled inside a process may have a kind whose title does not fit it.
 */
enum error_kind {
	ERR_INVALID,
	ERR_TOO_LARGE,
	ERR_UNAUTHORISED,
	ERR_FORBIDDEN,
	ERR_NOT_FOUND,
	ERR_CONFLICT,
	ERR_KEY_REUSED,
	ERR_IMPOSSIBLE,
	ERR_QUOTA,
	ERR_OVERLOAD,
	ERR_DEADLINE,
	ERR_NO_COORDINATOR,
	ERR_STORE_DOWN,
	ERR_STORE_UNSURE,
	ERR_DRAINING,
	ERR_UPSTREAM_FAILED, /* also a transport error of any HTTP call, see http-client.c */
	ERR_MEMBER_LOST,     /* also any broken peer connection, see peer-net.c */
	ERR_UNKNOWN_OUTCOME,
	ERR_CANCELLED,
	ERR_PROTOCOL,
	ERR_INTERNAL,
	ERR_COUNT
};

/* When a failed request may be retried. Only reported to the caller, as "retry". */
enum error_retry {
	RETRY_NEVER,
	RETRY_AFTER_CHANGE, /* once the request, quota or stored state has changed */
	RETRY_LATER
};

/*
 * How an error kind is reported to a caller. not_run is true only if the kind alone proves that
 * no part of the job was run.
 */
struct error_info {
	const char *name;
	const char *title;
	int status;
	bool not_run;
	enum error_retry retry;
	int retry_after_s;
	int exit_code;
};

#define DP_ERROR error_quark()
GQuark error_quark(void);
const struct error_info *error_info(enum error_kind kind);
const struct error_info *error_info_of(const GError *err);
enum error_kind error_kind_of(const GError *err);
bool error_kind_parse(const char *name, enum error_kind *kind);
void error_set(GError **err, enum error_kind kind, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* clock.c: times are in nanoseconds, and monotonic unless the name contains "wall". */
struct clock {
	int64_t (*monotonic)(void *arg);
	int64_t (*wall)(void *arg);
	void *arg;
};
extern const struct clock clock_system;
int64_t clock_now(const struct clock *c);
int64_t clock_wall(const struct clock *c);
char *clock_format_wall(int64_t wall_ns);
bool duration_parse(const char *text, int64_t *ns);
char *duration_format(int64_t ns);

/* log.c: human-readable log messages on standard error. */
enum log_level {
	LOG_LEVEL_ERROR,
	LOG_LEVEL_WARNING,
	LOG_LEVEL_INFO,
	LOG_LEVEL_DEBUG
};
void log_set_level(enum log_level level);
bool log_level_parse(const char *name, enum log_level *level);
void log_write(enum log_level level, const char *component, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
#define log_error(component, ...)   log_write(LOG_LEVEL_ERROR, component, __VA_ARGS__)
#define log_warning(component, ...) log_write(LOG_LEVEL_WARNING, component, __VA_ARGS__)
#define log_info(component, ...)    log_write(LOG_LEVEL_INFO, component, __VA_ARGS__)
#define log_debug(component, ...)   log_write(LOG_LEVEL_DEBUG, component, __VA_ARGS__)

/* counter.c: process-wide counters and gauges, in the Prometheus text format. */
struct counter {
	const char *name;
	const char *help;
	bool gauge;
	uint64_t value;
	SLIST_ENTRY(counter) entry;
};
void counter_register(struct counter *c);
void counter_add(struct counter *c, uint64_t n);
void counter_set(struct counter *c, uint64_t value);
uint64_t counter_get(const struct counter *c);
char *counter_render(void);
#define COUNTER(var, cname, chelp)                                                             \
	static struct counter var = {.name = (cname), .help = (chelp)};                        \
	__attribute__((constructor)) static void var##_register(void)                          \
	{                                                                                      \
		counter_register(&var);                                                        \
	}                                                                                      \
	struct counter
#define GAUGE(var, cname, chelp)                                                               \
	static struct counter var = {.name = (cname), .help = (chelp), .gauge = true};         \
	__attribute__((constructor)) static void var##_register(void)                          \
	{                                                                                      \
		counter_register(&var);                                                        \
	}                                                                                      \
	struct counter

/* budget.c: a bound on the sum of what several parts of a process allocate; thread-safe. */
struct budget;
struct budget *budget_new(size_t max);
void budget_free(struct budget *b);
bool budget_take(struct budget *b, size_t n);
void budget_give_back(struct budget *b, size_t n);
size_t budget_used(const struct budget *b);
size_t budget_max(const struct budget *b);

/* histogram.c: latency histograms, in the Prometheus text format. */
#define HISTOGRAM_BOUNDS 16
struct histogram {
	const char *name;
	const char *help;
	uint64_t counts[HISTOGRAM_BOUNDS + 1];
	uint64_t sum; /* nanoseconds */
	SLIST_ENTRY(histogram) entry;
};
void histogram_register(struct histogram *h);
void histogram_add(struct histogram *h, int64_t duration);
void histogram_render(GString *out);
#define HISTOGRAM(var, hname, hhelp)                                                           \
	static struct histogram var = {.name = (hname), .help = (hhelp)};                      \
	__attribute__((constructor)) static void var##_register(void)                          \
	{                                                                                      \
		histogram_register(&var);                                                      \
	}                                                                                      \
	struct histogram

/* event.c: structured log events on standard output, in logfmt. */
enum event_id {
#define EVENT(id, name, fields, help) id,
#include "event-table.h"
#undef EVENT
	EVENT_COUNT
};
struct event_info {
	const char *name;
	const char *fields;
	const char *help;
};
extern const struct event_info event_infos[EVENT_COUNT];
void event_set_process(const char *name);
void event_log(enum event_id id, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
void event_flush(void);
void event_help(FILE *out);

/* option.c: a table of settings that defines flags, environment variables, checks and help. */
enum option_type {
	OPTION_STRING,
	OPTION_NUMBER,
	OPTION_DURATION,
	OPTION_BOOL /* yes or no */
};
/*
 * min and max limit numbers, and durations in nanoseconds. A string must not be empty unless
 * its min is 0. roles is a comma-separated list; NULL means all roles.
 */
struct option_entry {
	const char *name;
	enum option_type type;
	const char *default_value;
	int64_t min;
	int64_t max;
	const char *roles;
	const char *help;
};
struct option_value {
	char *text;
	int64_t number;
};
struct options;
struct options *options_parse(const struct option_entry *table, size_t count, const char *role,
	int argc, char **argv, GError **err);
void options_free(struct options *o);
const char *options_string(const struct options *o, const char *name);
int64_t options_number(const struct options *o, const char *name);
void options_help(FILE *out, const struct option_entry *table, size_t count, const char *role);

/* random.c: random values from the kernel. */
uint64_t random_u64(void);
void random_bytes(void *out, size_t len);
char *random_hex(size_t bytes);

/* loop.c: a single-threaded event loop for file descriptors, timers and posted calls. */
struct loop;
typedef void loop_fn(void *arg);
typedef void loop_fd_fn(uint32_t events, void *arg);
struct loop_timer;
struct loop *loop_new(const struct clock *clock);
void loop_free(struct loop *l);
void loop_run(struct loop *l);
void loop_stop(struct loop *l);
void loop_post(struct loop *l, loop_fn *fn, void *arg);
void loop_defer(struct loop *l, loop_fn *fn, void *arg);
void loop_defer_del(struct loop *l, loop_fn *fn, const void *arg);
void loop_add_fd(struct loop *l, int fd, uint32_t events, loop_fd_fn *fn, void *arg);
void loop_set_fd(struct loop *l, int fd, uint32_t events);
void loop_del_fd(struct loop *l, int fd);
struct loop_timer *loop_timer_add(
	struct loop *l, int64_t delay, int64_t period, loop_fn *fn, void *arg);
void loop_timer_del(struct loop *l, struct loop_timer *t);
int64_t loop_now(struct loop *l);
const struct clock *loop_clock(struct loop *l);

/*
 * rcu.c: shared values that any thread may read without a lock. A reader calls rcu_enter before
 * and rcu_leave after using a value. rcu_publish replaces a value, blocks until no reader can
 * hold the old one, and frees it; it must not be called between rcu_enter and rcu_leave.
 */
void rcu_enter(void);
void rcu_leave(void);
void *rcu_read(void *const *slot);
void rcu_publish(void **slot, void *value, void (*free_fn)(void *));

/* work.c: a thread pool for blocking calls whose completion callbacks run on the event loop. */
struct work_pool;
struct work_pool *work_pool_new(struct loop *l, unsigned int threads);
void work_pool_free(struct work_pool *p);
void work_submit(struct work_pool *p, loop_fn *run, loop_fn *done, void *arg);

#endif
