#include "runner.h"

#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTIONS_MAX	    256
#define FORWARD_BUFFER_SIZE 65536
#define SLOW_DELAY_US	    60000 /* per connection that has data, each time the relay polls */

struct relay {
	char *target;
	int listen_fd;
	int mode;
	bool reset;
	bool stop;
	pthread_t thread;
	/* Sockets to the client and to the target of each connection. */
	int connections[CONNECTIONS_MAX][2];
	size_t len;
};

/* Close both sockets of a connection and remove it. */
static void close_connection(struct relay *r, size_t i)
{
	close(r->connections[i][0]);
	close(r->connections[i][1]);
	r->len--;
	memmove(&r->connections[i], &r->connections[i + 1],
		(r->len - i) * sizeof(r->connections[0]));
}

/* Accept a connection and connect it to the target, or close it if that is not possible. */
static void accept_connection(struct relay *r)
{
	int client = accept4(r->listen_fd, NULL, NULL, SOCK_CLOEXEC);
	int target;

	if (client < 0)
		return;
	target = __atomic_load_n(&r->mode, __ATOMIC_ACQUIRE) != RELAY_CUT &&
				 r->len < CONNECTIONS_MAX
			 ? addr_dial(r->target, NULL)
			 : -1;
	if (target < 0) {
		close(client);
		return;
	}
	r->connections[r->len][0] = client;
	r->connections[r->len][1] = target;
	r->len++;
}

/* Forward received data from one socket to the other; false if the connection has ended. */
static bool forward(int from, int to)
{
	char buf[FORWARD_BUFFER_SIZE];
	ssize_t n = recv(from, buf, sizeof(buf), MSG_DONTWAIT);
	ssize_t sent = 0;

	if (n < 0)
		return errno == EAGAIN;
	if (n == 0)
		return false;
	while (sent < n) {
		ssize_t w = send(to, buf + sent, (size_t)(n - sent), MSG_NOSIGNAL);

		if (w < 0 && errno != EAGAIN && errno != ENOTCONN)
			return false;
		if (w > 0)
			sent += w;
		else
			usleep(500);
	}
	return true;
}

/* Accept connections and forward data in both directions until the relay is stopped. */
static void *relay_thread(void *arg)
{
	struct relay *r = arg;

	while (!__atomic_load_n(&r->stop, __ATOMIC_ACQUIRE)) {
		struct pollfd fds[1 + 2 * CONNECTIONS_MAX];
		size_t n = r->len;
		int mode = __atomic_load_n(&r->mode, __ATOMIC_ACQUIRE);
		bool reset = __atomic_exchange_n(&r->reset, false, __ATOMIC_ACQ_REL);

		fds[0] = (struct pollfd){r->listen_fd, POLLIN, 0};
		for (size_t i = 0; i < n; i++) {
			short client_events = mode == RELAY_HOLD ? 0 : POLLIN;
			short target_events = mode == RELAY_ONE_WAY ? 0 : client_events;

			fds[1 + 2 * i] =
				(struct pollfd){r->connections[i][0], client_events, 0};
			fds[2 + 2 * i] =
				(struct pollfd){r->connections[i][1], target_events, 0};
		}
		poll(fds, 1 + 2 * n, 20);
		for (size_t i = n; i-- > 0;) {
			bool ok = mode != RELAY_CUT && !reset;

			if (mode == RELAY_SLOW &&
				(fds[1 + 2 * i].revents | fds[2 + 2 * i].revents) & POLLIN)
				usleep(SLOW_DELAY_US);
			if (ok && fds[1 + 2 * i].revents & POLLIN)
				ok = forward(r->connections[i][0], r->connections[i][1]);
			if (ok && fds[2 + 2 * i].revents & POLLIN)
				ok = forward(r->connections[i][1], r->connections[i][0]);
			if (mode != RELAY_HOLD &&
				(fds[1 + 2 * i].revents | fds[2 + 2 * i].revents) & POLLERR)
				ok = false;
			if (!ok)
				close_connection(r, i);
		}
		if (fds[0].revents & POLLIN)
			accept_connection(r);
	}
	while (r->len > 0)
		close_connection(r, 0);
	return NULL;
}

/* Start a relay to a target; addr is set to its own address, to be freed by the caller. */
struct relay *relay_new(const char *target, char **addr)
{
	struct relay *r = xcalloc(1, sizeof(*r));

	r->target = xstrdup(target);
	r->listen_fd = addr_listen("127.0.0.1:0", addr, NULL);
	if (pthread_create(&r->thread, NULL, relay_thread, r) != 0)
		abort();
	return r;
}

/* Set the mode, which applies to open and new connections. */
void relay_set(struct relay *r, enum relay_mode mode)
{
	__atomic_store_n(&r->mode, (int)mode, __ATOMIC_RELEASE);
}

/* Close all open connections and discard the data that they have not forwarded. */
void relay_reset(struct relay *r)
{
	__atomic_store_n(&r->reset, true, __ATOMIC_RELEASE);
}

/* Stop and free a relay; NULL is allowed. */
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
