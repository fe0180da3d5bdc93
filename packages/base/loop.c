#include "base.h"

#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define LOOP_MAX_EVENTS 64 /* events per call of epoll_wait */

struct loop_fd {
	int fd;
	loop_fd_fn *fn;
	void *arg;
};

struct loop_timer {
	int64_t due;
	int64_t period;
	loop_fn *fn;
	void *arg;
	bool deleted;
	TAILQ_ENTRY(loop_timer) entry;
};

struct loop_call {
	loop_fn *fn;
	void *arg;
	STAILQ_ENTRY(loop_call) entry;
};

/*
 * Other threads access only the queue of posted calls, under the lock, and the eventfd. Timers
 * are in a list sorted by due time, which is sufficient for the few dozen that a process has at
 * most.
 */
struct loop {
	const struct clock *clock;
	int epoll_fd;
	int wake_fd;
	bool running;
	GHashTable *fds;
	TAILQ_HEAD(, loop_timer) timers;
	STAILQ_HEAD(, loop_call) deferred;
	pthread_mutex_t lock;
	STAILQ_HEAD(, loop_call) calls;
	bool wake_pending;
};

/* Create an event loop. */
struct loop *loop_new(const struct clock *clock)
{
	struct loop *l = xcalloc(1, sizeof(*l));
	struct epoll_event ev = {.events = EPOLLIN};

	l->clock = clock;
	l->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	l->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	l->fds = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, free);
	TAILQ_INIT(&l->timers);
	STAILQ_INIT(&l->calls);
	STAILQ_INIT(&l->deferred);
	pthread_mutex_init(&l->lock, NULL);
	ev.data.fd = l->wake_fd;
	if (epoll_ctl(l->epoll_fd, EPOLL_CTL_ADD, l->wake_fd, &ev) != 0)
		abort();
	return l;
}

/* Free a loop that is not running, with its timers and the posted calls that did not run. */
void loop_free(struct loop *l)
{
	struct loop_timer *t;
	struct loop_call *c;

	while ((t = TAILQ_FIRST(&l->timers)) != NULL) {
		TAILQ_REMOVE(&l->timers, t, entry);
		free(t);
	}
	while ((c = STAILQ_FIRST(&l->calls)) != NULL) {
		STAILQ_REMOVE_HEAD(&l->calls, entry);
		free(c);
	}
	while ((c = STAILQ_FIRST(&l->deferred)) != NULL) {
		STAILQ_REMOVE_HEAD(&l->deferred, entry);
		free(c);
	}
	g_hash_table_destroy(l->fds);
	close(l->epoll_fd);
	close(l->wake_fd);
	pthread_mutex_destroy(&l->lock);
	free(l);
}

/* Queue a call of fn on the loop's thread; may be called from any thread. */
void loop_post(struct loop *l, loop_fn *fn, void *arg)
{
	struct loop_call *c = xmalloc(sizeof(*c));
	uint64_t one = 1;
	bool wake;

	c->fn = fn;
	c->arg = arg;
	pthread_mutex_lock(&l->lock);
	STAILQ_INSERT_TAIL(&l->calls, c, entry);
	wake = !l->wake_pending;
	l->wake_pending = true;
	pthread_mutex_unlock(&l->lock);
	if (wake && write(l->wake_fd, &one, sizeof(one)) < 0 && errno != EAGAIN)
		abort();
}

/*
 * Call fn on the loop's thread before the loop waits for events again. To be called on that
 * thread only; unlike loop_post it makes no system call.
 */
void loop_defer(struct loop *l, loop_fn *fn, void *arg)
{
	struct loop_call *c = xmalloc(sizeof(*c));

	c->fn = fn;
	c->arg = arg;
	STAILQ_INSERT_TAIL(&l->deferred, c, entry);
}

/* Drop the deferred calls of fn with arg. */
void loop_defer_del(struct loop *l, loop_fn *fn, const void *arg)
{
	STAILQ_HEAD(, loop_call) kept = STAILQ_HEAD_INITIALIZER(kept);
	struct loop_call *c;

	while ((c = STAILQ_FIRST(&l->deferred)) != NULL) {
		STAILQ_REMOVE_HEAD(&l->deferred, entry);
		if (c->fn == fn && c->arg == arg)
			free(c);
		else
			STAILQ_INSERT_TAIL(&kept, c, entry);
	}
	STAILQ_CONCAT(&l->deferred, &kept);
}

/* Run the deferred calls, also those that they defer. Return whether there were any. */
static bool run_deferred(struct loop *l)
{
	struct loop_call *c;
	bool any = false;

	while ((c = STAILQ_FIRST(&l->deferred)) != NULL) {
		STAILQ_REMOVE_HEAD(&l->deferred, entry);
		c->fn(c->arg);
		free(c);
		any = true;
	}
	return any;
}

/* Run the posted calls in order. Calls posted meanwhile run in the next iteration. */
static void run_posted(struct loop *l)
{
	STAILQ_HEAD(, loop_call) calls = STAILQ_HEAD_INITIALIZER(calls);
	struct loop_call *c;
	uint64_t n;

	if (read(l->wake_fd, &n, sizeof(n)) < 0 && errno != EAGAIN)
		abort();
	pthread_mutex_lock(&l->lock);
	STAILQ_CONCAT(&calls, &l->calls);
	l->wake_pending = false;
	pthread_mutex_unlock(&l->lock);
	while ((c = STAILQ_FIRST(&calls)) != NULL) {
		STAILQ_REMOVE_HEAD(&calls, entry);
		c->fn(c->arg);
		free(c);
	}
}

/* Insert a timer into the list, after those that are due at the same time. */
static void insert_timer(struct loop *l, struct loop_timer *t)
{
	struct loop_timer *later;

	TAILQ_FOREACH(later, &l->timers, entry) {
		if (later->due > t->due) {
			TAILQ_INSERT_BEFORE(later, t, entry);
			return;
		}
	}
	TAILQ_INSERT_TAIL(&l->timers, t, entry);
}

/*
 * Call fn after delay, and then once per period if that is not zero. Both are in nanoseconds. A
 * timer without a period is freed after its call.
 */
struct loop_timer *loop_timer_add(
	struct loop *l, int64_t delay, int64_t period, loop_fn *fn, void *arg)
{
	struct loop_timer *t = xcalloc(1, sizeof(*t));

	t->due = clock_now(l->clock) + delay;
	t->period = period;
	t->fn = fn;
	t->arg = arg;
	insert_timer(l, t);
	return t;
}

/* Mark a timer as deleted; run_timers frees it. May be called from the timer's own callback. */
void loop_timer_del(struct loop *l, struct loop_timer *t)
{
	(void)l;
	if (t != NULL)
		t->deleted = true;
}

/* Run the timers that are due. Return the milliseconds until the next one, or -1 if none. */
static int run_timers(struct loop *l)
{
	struct loop_timer *t;
	int64_t now = clock_now(l->clock);

	while ((t = TAILQ_FIRST(&l->timers)) != NULL) {
		if (!t->deleted && t->due > now)
			return (int)((t->due - now + NSEC_PER_MSEC - 1) / NSEC_PER_MSEC);
		TAILQ_REMOVE(&l->timers, t, entry);
		if (t->deleted) {
			free(t);
			continue;
		}
		t->fn(t->arg);
		if (t->period == 0)
			t->deleted = true;
		t->due = now + t->period;
		if (t->deleted)
			free(t);
		else
			insert_timer(l, t);
	}
	return -1;
}

/* Dispatch events on the calling thread until loop_stop is called. */
void loop_run(struct loop *l)
{
	struct epoll_event evs[LOOP_MAX_EVENTS];

	l->running = true;
	while (l->running) {
		int timeout_ms;
		int n;

		do {
			timeout_ms = run_timers(l);
		} while (run_deferred(l));
		n = l->running ? epoll_wait(l->epoll_fd, evs, LOOP_MAX_EVENTS, timeout_ms) : 0;

		for (int i = 0; i < n; i++) {
			struct loop_fd *f;

			if (evs[i].data.fd == l->wake_fd) {
				run_posted(l);
				continue;
			}
			f = g_hash_table_lookup(l->fds, GINT_TO_POINTER(evs[i].data.fd));
			if (f != NULL)
				f->fn(evs[i].events, f->arg);
		}
	}
}

/* Make loop_run return; must be called on the loop's thread. */
void loop_stop(struct loop *l)
{
	l->running = false;
}

/* Watch a descriptor for epoll events. */
void loop_add_fd(struct loop *l, int fd, uint32_t events, loop_fd_fn *fn, void *arg)
{
	struct epoll_event ev = {.events = events, .data.fd = fd};
	struct loop_fd *f = xcalloc(1, sizeof(*f));

	f->fd = fd;
	f->fn = fn;
	f->arg = arg;
	g_hash_table_replace(l->fds, GINT_TO_POINTER(fd), f);
	if (epoll_ctl(l->epoll_fd, EPOLL_CTL_ADD, fd, &ev) != 0)
		abort();
}

/* Change the events that a descriptor is watched for. */
void loop_set_fd(struct loop *l, int fd, uint32_t events)
{
	struct epoll_event ev = {.events = events, .data.fd = fd};

	if (epoll_ctl(l->epoll_fd, EPOLL_CTL_MOD, fd, &ev) != 0)
		abort();
}

/* Stop watching a descriptor; the caller closes it. */
void loop_del_fd(struct loop *l, int fd)
{
	epoll_ctl(l->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
	g_hash_table_remove(l->fds, GINT_TO_POINTER(fd));
}

/* Return the monotonic time of the loop's clock. */
int64_t loop_now(struct loop *l)
{
	return clock_now(l->clock);
}

/* Return the loop's clock. */
const struct clock *loop_clock(struct loop *l)
{
	return l->clock;
}
