#include "runner.h"

#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PAIRS_MAX 256
#define CHUNK	  65536
#define SLOW_US	  60000 /* each piece of data is late by this */

struct relay {
	char *target;
	int listen_fd;
	int mode;
	bool reset;
	bool stop;
	pthread_t thread;
	int pairs[PAIRS_MAX][2];
	size_t len;
};

/* Close one pair. */
static void drop_pair(struct relay *r, size_t i)
{
	close(r->pairs[i][0]);
	close(r->pairs[i][1]);
	r->len--;
	memmove(&r->pairs[i], &r->pairs[i + 1], (r->len - i) * sizeof(r->pairs[0]));
}

/* Take a new connection. */
static void accept_pair(struct relay *r)
{
	int in = accept4(r->listen_fd, NULL, NULL, SOCK_CLOEXEC);
	int out;

	if (in < 0)
		return;
	out = __atomic_load_n(&r->mode, __ATOMIC_ACQUIRE) != RELAY_CUT && r->len < PAIRS_MAX
		      ? addr_dial(r->target, NULL)
		      : -1;
	if (out < 0) {
		close(in);
		return;
	}
	r->pairs[r->len][0] = in;
	r->pairs[r->len][1] = out;
	r->len++;
}

/* Move what has come on one side to the other; false where the pair is done. */
static bool forward(int from, int to)
{
	char buf[CHUNK];
	ssize_t n = recv(from, buf, sizeof(buf), MSG_DONTWAIT);
	ssize_t at = 0;

	if (n < 0)
		return errno == EAGAIN;
	if (n == 0)
		return false;
	while (at < n) {
		ssize_t w = send(to, buf + at, (size_t)(n - at), MSG_NOSIGNAL);

		if (w < 0 && errno != EAGAIN && errno != ENOTCONN)
			return false;
		if (w > 0)
			at += w;
		else
			usleep(500);
	}
	return true;
}

/* The relay's thread. */
static void *relay_thread(void *arg)
{
	struct relay *r = arg;

	while (!__atomic_load_n(&r->stop, __ATOMIC_ACQUIRE)) {
		struct pollfd fds[1 + 2 * PAIRS_MAX];
		size_t n = r->len;
		int mode = __atomic_load_n(&r->mode, __ATOMIC_ACQUIRE);
		bool reset = __atomic_exchange_n(&r->reset, false, __ATOMIC_ACQ_REL);

		fds[0] = (struct pollfd){r->listen_fd, POLLIN, 0};
		for (size_t i = 0; i < n; i++) {
			short want = mode == RELAY_HOLD ? 0 : POLLIN;
			short back = mode == RELAY_ONE_WAY ? 0 : want;

			fds[1 + 2 * i] = (struct pollfd){r->pairs[i][0], want, 0};
			fds[2 + 2 * i] = (struct pollfd){r->pairs[i][1], back, 0};
		}
		poll(fds, 1 + 2 * n, 20);
		for (size_t i = n; i-- > 0;) {
			bool ok = mode != RELAY_CUT && !reset;

			if (mode == RELAY_SLOW &&
				(fds[1 + 2 * i].revents | fds[2 + 2 * i].revents) & POLLIN)
				usleep(SLOW_US);
			if (ok && fds[1 + 2 * i].revents & POLLIN)
				ok = forward(r->pairs[i][0], r->pairs[i][1]);
			if (ok && fds[2 + 2 * i].revents & POLLIN)
				ok = forward(r->pairs[i][1], r->pairs[i][0]);
			if (mode != RELAY_HOLD &&
				(fds[1 + 2 * i].revents | fds[2 + 2 * i].revents) & POLLERR)
				ok = false;
			if (!ok)
				drop_pair(r, i);
		}
		if (fds[0].revents & POLLIN)
			accept_pair(r);
	}
	while (r->len > 0)
		drop_pair(r, 0);
	return NULL;
}

/* Forward a new address to a target. */
struct relay *relay_new(const char *target, char **addr)
{
	struct relay *r = xcalloc(1, sizeof(*r));

	r->target = xstrdup(target);
	r->listen_fd = addr_listen("127.0.0.1:0", addr, NULL);
	if (pthread_create(&r->thread, NULL, relay_thread, r) != 0)
		abort();
	return r;
}

/* Let through, hold or cut. */
void relay_set(struct relay *r, enum relay_mode mode)
{
	__atomic_store_n(&r->mode, (int)mode, __ATOMIC_RELEASE);
}

/* Close all connections that are open now, with what they hold. */
void relay_reset(struct relay *r)
{
	__atomic_store_n(&r->reset, true, __ATOMIC_RELEASE);
}

/* Stop a relay. */
void relay_free(struct relay *r)
{
	if (r == NULL)
		return;
	__atomic_store_n(&r->stop, true, __ATOMIC_RELEASE);
	pthread_join(r->thread, NULL);
	close(r->listen_fd);
	free(r->target);
	free(r);
}
