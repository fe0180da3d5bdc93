/*
 * A requester: sends one request and prints the body of the answer and, on a line of its own,
 * its status; 000 if there is no whole answer within the time.
 *
 * ask METHOD IP:PORT PATH KEY MILLISECONDS [BODY]
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

static long now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static int fail(void)
{
	printf("\n000");
	return 1;
}

int main(int argc, char **argv)
{
	static char text[1 << 20];
	char request[4096], host[64];
	const char *body = argc > 6 ? argv[6] : "";
	struct sockaddr_in a = {.sin_family = AF_INET};
	size_t len = 0, want = 0;
	long until;
	char *end, *h;
	int fd, status = 0;

	if (argc < 6 || strlen(argv[2]) >= sizeof(host) || strchr(argv[2], ':') == NULL)
		return 2;
	strcpy(host, argv[2]);
	*strchr(host, ':') = '\0';
	a.sin_port = htons((uint16_t)atoi(strchr(argv[2], ':') + 1));
	if (inet_pton(AF_INET, host, &a.sin_addr) != 1)
		return 2;
	until = now_ms() + atol(argv[5]);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0)
		return fail();
	snprintf(request, sizeof(request),
		"%s %s HTTP/1.1\r\nHost: shop.example\r\nContent-Type: application/json\r\n"
		"Deadline-Ms: 3000\r\nAuthorization: Token %s\r\nContent-Length: %zu\r\n"
		"Connection: close\r\n\r\n",
		argv[1], argv[3], argv[4], strlen(body));
	if (send(fd, request, strlen(request), MSG_NOSIGNAL) < 0 ||
		send(fd, body, strlen(body), MSG_NOSIGNAL) < 0)
		return fail();
	for (;;) {
		long left = until - now_ms();
		struct timeval tv = {.tv_sec = left / 1000, .tv_usec = left % 1000 * 1000 + 1};
		ssize_t n;

		end = strstr(text, "\r\n\r\n");
		if (end != NULL) {
			h = strcasestr(text, "\r\nContent-Length:");
			want = h != NULL && h < end ? strtoul(h + 17, NULL, 10) : 0;
			if (len >= (size_t)(end + 4 - text) + want)
				break;
		}
		if (left <= 0 || len + 1 >= sizeof(text))
			return fail();
		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
		n = recv(fd, text + len, sizeof(text) - 1 - len, 0);
		if (n <= 0)
			return fail();
		len += (size_t)n;
	}
	sscanf(text, "HTTP/1.1 %d", &status);
	printf("%.*s\n%03d", (int)want, end + 4, status);
	return 0;
}
