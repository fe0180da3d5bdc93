#include "unit.h"

#include "transport.h"

#include <fcntl.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* The HTTP client against a server that breaks off. */

/*
 * A server that answers the first request on a connection with 200. It carries out the second
 * one and closes the connection without an answer. It refuses what comes on later connections.
 */
struct breaking_server {
	int listener;
	unsigned int requests;
};

/* Reads one request, which fits a single read; false at the end of the connection. */
static bool read_request(int fd, struct breaking_server *s)
{
	char buffer[4096];

	if (recv(fd, buffer, sizeof(buffer), 0) <= 0)
		return false;
	s->requests++;
	return true;
}

static void send_answer(int fd, const char *status)
{
	g_autofree char *text =
		g_strdup_printf("HTTP/1.1 %s\r\nContent-Length: 2\r\n\r\n{}", status);

	(void)!send(fd, text, strlen(text), MSG_NOSIGNAL);
}

static void *serve_breaking(void *arg)
{
	struct breaking_server *s = arg;
	bool first = true;
	int fd;

	while ((fd = accept(s->listener, NULL, NULL)) >= 0) {
		while (read_request(fd, s)) {
			if (first && s->requests == 2)
				break;
			send_answer(fd, first ? "200 OK" : "503 Service Unavailable");
		}
		first = false;
		close(fd);
	}
	return NULL;
}

static void call_done(struct http_call *c, void *arg)
{
	(void)c;
	loop_stop(arg);
}

/* Sends a call and returns it with its answer. */
static struct http_call *call_server(
	struct http_client *client, struct loop *loop, const char *method, const char *url)
{
	struct http_call *c = http_call_new(method, url);

	if (strcmp(method, "GET") != 0)
		c->body = bytes_copy("{}", 2);
	c->timeout = 2 * NSEC_PER_SEC;
	c->done = call_done;
	c->arg = loop;
	http_client_send(client, c);
	loop_run(loop);
	return c;
}

/*
 * Guards against an order that is sent twice behind its caller's back: the worker carries out
 * the first one and refuses the second, and the caller takes it as not carried out.
 */
static void test_call_is_not_repeated(void)
{
	struct breaking_server s = {0};
	struct loop *loop = loop_new(&clock_system);
	struct http_client *client = http_client_new(loop);
	g_autoptr(GError) err = NULL;
	char *bound = NULL;
	AUTOFREE char *url = NULL;
	struct http_call *c;
	pthread_t thread;

	s.listener = addr_listen("127.0.0.1:0", &bound, &err);
	CU_ASSERT_FATAL(s.listener >= 0);
	/* The server's thread waits in accept. */
	CU_ASSERT_FATAL(fcntl(s.listener, F_SETFL, 0) == 0);
	xasprintf(&url, "http://%s/", bound);
	CU_ASSERT_FATAL(pthread_create(&thread, NULL, serve_breaking, &s) == 0);
	c = call_server(client, loop, "POST", url);
	CU_ASSERT_EQUAL(c->status, 200);
	http_call_free(c);
	c = call_server(client, loop, "POST", url);
	CU_ASSERT_PTR_NOT_NULL(c->error);
	CU_ASSERT_FALSE(c->never_sent);
	http_call_free(c);
	http_client_free(client);
	shutdown(s.listener, SHUT_RDWR);
	pthread_join(thread, NULL);
	CU_ASSERT_EQUAL(s.requests, 2);
	close(s.listener);
	free(bound);
	loop_free(loop);
}

void unit_http(CU_pSuite s)
{
	CU_add_test(
		s, "a call whose connection breaks is not repeated", test_call_is_not_repeated);
}
