#include "transport.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LISTEN_BACKLOG 1024

/* Splits "IP:PORT"; accepts only numeric IPv4 addresses. */
bool addr_parse(const char *text, char **host, int *port, GError **err)
{
	const char *colon = strrchr(text, ':');
	struct in_addr in;
	char *end;
	long p;

	if (colon == NULL || colon == text)
		goto bad;
	p = strtol(colon + 1, &end, 10);
	if (end == colon + 1 || *end != '\0' || p < 0 || p > 65535)
		goto bad;
	*host = g_strndup(text, (gsize)(colon - text));
	*port = (int)p;
	if (inet_pton(AF_INET, *host, &in) == 1)
		return true;
	g_free(*host);
	*host = NULL;
bad:
	error_set(err, ERR_INVALID, "'%s' is not an address of the form IP:PORT", text);
	return false;
}

/* Converts "IP:PORT" to a socket address. */
static bool to_sockaddr(const char *text, struct sockaddr_in *sa, GError **err)
{
	g_autofree char *host = NULL;
	int port;

	if (!addr_parse(text, &host, &port, err))
		return false;
	memset(sa, 0, sizeof(*sa));
	sa->sin_family = AF_INET;
	sa->sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, host, &sa->sin_addr);
	return true;
}

/* Listens on an address; *bound receives the bound address, as port 0 selects a free port. */
int addr_listen(const char *text, char **bound, GError **err)
{
	struct sockaddr_in sa;
	socklen_t len = sizeof(sa);
	char host[INET_ADDRSTRLEN];
	int one = 1;
	int fd;

	if (!to_sockaddr(text, &sa, err))
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		goto fail;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
		listen(fd, LISTEN_BACKLOG) != 0)
		goto fail;
	getsockname(fd, (struct sockaddr *)&sa, &len);
	inet_ntop(AF_INET, &sa.sin_addr, host, sizeof(host));
	*bound = g_strdup_printf("%s:%d", host, ntohs(sa.sin_port));
	return fd;
fail:
	error_set(err, ERR_INTERNAL, "cannot listen on %s: %s", text, g_strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}

/* Starts a non-blocking connection; it may still be in progress on return. */
int addr_dial(const char *text, GError **err)
{
	struct sockaddr_in sa;
	int one = 1;
	int fd;

	if (!to_sockaddr(text, &sa, err))
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0) {
		error_set(err, ERR_INTERNAL, "cannot create a socket: %s", g_strerror(errno));
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0 || errno == EINPROGRESS)
		return fd;
	error_set(err, ERR_INTERNAL, "cannot connect to %s: %s", text, g_strerror(errno));
	close(fd);
	return -1;
}
