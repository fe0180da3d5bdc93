#include "transport.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#define KEY_LEN	    32
#define KEYS_MAX    2
#define SECRET_MIN  16
#define FRAME_MAGIC "DMP1"

struct frame_secret {
	uint8_t bytes[KEY_LEN];
	uint8_t id[FRAME_KEY_ID];
};

/* The first key is the one that diallers use; each is accepted. */
struct keyring {
	struct frame_secret keys[KEYS_MAX];
	size_t count;
};

struct frame_codec {
	const struct keyring *keys;
	bool dialler;
	bool ready;
	uint8_t greeting[FRAME_GREET_LEN];
	GHmac *send_mac;
	GHmac *recv_mac;
	uint64_t send_seq;
	uint64_t recv_seq;
};

/* HMAC-SHA256 of up to three parts. */
static void digest_parts(const uint8_t *key, const void *a, size_t alen, const void *b,
	size_t blen, const void *c, size_t clen, uint8_t out[KEY_LEN])
{
	GHmac *mac = g_hmac_new(G_CHECKSUM_SHA256, key, KEY_LEN);
	gsize len = KEY_LEN;

	g_hmac_update(mac, a, (gssize)alen);
	if (blen > 0)
		g_hmac_update(mac, b, (gssize)blen);
	if (clen > 0)
		g_hmac_update(mac, c, (gssize)clen);
	g_hmac_get_digest(mac, out, &len);
	g_hmac_unref(mac);
}

/* Parse one secret, or two with a comma between them while keys are changed. */
struct keyring *keyring_parse(const char *text, GError **err)
{
	g_auto(GStrv) parts = g_strsplit(text, ",", -1);
	struct keyring *k = xcalloc(1, sizeof(*k));

	for (size_t i = 0; parts[i] != NULL; i++) {
		struct frame_secret *s = &k->keys[i];
		GChecksum *sum;
		gsize len = KEY_LEN;
		uint8_t id[KEY_LEN];

		if (i == KEYS_MAX || strlen(parts[i]) < SECRET_MIN) {
			error_set(err, ERR_INVALID,
				"setting peer-keys: one or two secrets of %d characters or "
				"more, with a comma between them",
				SECRET_MIN);
			free(k);
			return NULL;
		}
		sum = g_checksum_new(G_CHECKSUM_SHA256);
		g_checksum_update(sum, (const guchar *)parts[i], -1);
		g_checksum_get_digest(sum, s->bytes, &len);
		g_checksum_free(sum);
		digest_parts(s->bytes, "id", 2, NULL, 0, NULL, 0, id);
		memcpy(s->id, id, FRAME_KEY_ID);
		k->count++;
	}
	return k;
}

/* Free a key ring. */
void keyring_free(struct keyring *k)
{
	free(k);
}

/* A codec for one connection. */
struct frame_codec *frame_codec_new(const struct keyring *keys, bool dialler)
{
	struct frame_codec *c = xcalloc(1, sizeof(*c));

	c->keys = keys;
	c->dialler = dialler;
	memcpy(c->greeting, FRAME_MAGIC, 4);
	memcpy(c->greeting + 4, keys->keys[0].id, FRAME_KEY_ID);
	random_bytes(c->greeting + 4 + FRAME_KEY_ID, FRAME_NONCE_LEN);
	return c;
}

/* Free a codec. */
void frame_codec_free(struct frame_codec *c)
{
	if (c == NULL)
		return;
	if (c->send_mac != NULL)
		g_hmac_unref(c->send_mac);
	if (c->recv_mac != NULL)
		g_hmac_unref(c->recv_mac);
	free(c);
}

/* The bytes that open the connection in our direction. */
const uint8_t *frame_greeting(struct frame_codec *c, size_t *len)
{
	*len = FRAME_GREET_LEN;
	return c->greeting;
}

/* Whether the other side's greeting has come. */
bool frame_ready(const struct frame_codec *c)
{
	return c->ready;
}

/* Make the key of one direction. */
static GHmac *direction_mac(const struct frame_secret *s, const uint8_t *dial_nonce,
	const uint8_t *accept_nonce, const char *direction)
{
	uint8_t key[KEY_LEN];

	digest_parts(s->bytes, dial_nonce, FRAME_NONCE_LEN, accept_nonce, FRAME_NONCE_LEN,
		direction, strlen(direction), key);
	return g_hmac_new(G_CHECKSUM_SHA256, key, KEY_LEN);
}

/* Find the key that the dialler chose. */
static const struct frame_secret *find_secret(const struct keyring *k, const uint8_t *id)
{
	for (size_t i = 0; i < k->count; i++) {
		if (memcmp(k->keys[i].id, id, FRAME_KEY_ID) == 0)
			return &k->keys[i];
	}
	return NULL;
}

/* Take the other side's greeting. */
static bool accept_greeting(struct frame_codec *c, const uint8_t *data, GError **err)
{
	const uint8_t *mine = c->greeting + 4 + FRAME_KEY_ID;
	const uint8_t *theirs = data + 4 + FRAME_KEY_ID;
	const uint8_t *id = c->dialler ? c->greeting + 4 : data + 4;
	const struct frame_secret *s = find_secret(c->keys, id);

	if (memcmp(data, FRAME_MAGIC, 4) != 0) {
		error_set(err, ERR_PROTOCOL, "the peer does not speak this protocol");
		return false;
	}
	if (s == NULL) {
		error_set(err, ERR_UNAUTHORISED, "the peer uses a key that is not ours");
		return false;
	}
	if (c->dialler) {
		c->send_mac = direction_mac(s, mine, theirs, "d");
		c->recv_mac = direction_mac(s, mine, theirs, "a");
	} else {
		c->send_mac = direction_mac(s, theirs, mine, "a");
		c->recv_mac = direction_mac(s, theirs, mine, "d");
	}
	c->ready = true;
	return true;
}

/* The code of a frame: counter, then body. */
static void frame_mac(
	GHmac *base, uint64_t seq, const void *body, size_t len, uint8_t out[FRAME_MAC_LEN])
{
	GHmac *mac = g_hmac_copy(base);
	uint8_t full[KEY_LEN];
	gsize full_len = KEY_LEN;
	uint64_t wire = GUINT64_TO_BE(seq);

	g_hmac_update(mac, (const guchar *)&wire, sizeof(wire));
	g_hmac_update(mac, body, (gssize)len);
	g_hmac_get_digest(mac, full, &full_len);
	g_hmac_unref(mac);
	memcpy(out, full, FRAME_MAC_LEN);
}

/* Append a frame; the codec must be ready. */
void frame_encode(struct frame_codec *c, GByteArray *out, const void *body, size_t len)
{
	uint32_t wire = htonl((uint32_t)len);
	uint8_t mac[FRAME_MAC_LEN];

	frame_mac(c->send_mac, c->send_seq++, body, len, mac);
	g_byte_array_append(out, (const guint8 *)&wire, sizeof(wire));
	g_byte_array_append(out, mac, sizeof(mac));
	g_byte_array_append(out, body, (guint)len);
}

/* Compare without leaking where the first difference is. */
static bool equal_mac(const uint8_t *a, const uint8_t *b)
{
	uint8_t diff = 0;

	for (size_t i = 0; i < FRAME_MAC_LEN; i++)
		diff |= a[i] ^ b[i];
	return diff == 0;
}

/* Look at the start of the input; out->used bytes are done with. */
enum frame_result frame_decode(struct frame_codec *c, const uint8_t *data, size_t len,
	struct frame_view *out, GError **err)
{
	uint8_t mac[FRAME_MAC_LEN];
	uint32_t wire;
	size_t body_len;

	out->used = 0;
	if (!c->ready) {
		if (len < FRAME_GREET_LEN)
			return FRAME_MORE;
		out->used = FRAME_GREET_LEN;
		return accept_greeting(c, data, err) ? FRAME_GREETED : FRAME_BAD;
	}
	if (len < FRAME_HEAD_LEN)
		return FRAME_MORE;
	memcpy(&wire, data, sizeof(wire));
	body_len = ntohl(wire);
	if (body_len > FRAME_BODY_MAX) {
		error_set(
			err, ERR_TOO_LARGE, "a frame of %zu bytes is over the limit", body_len);
		return FRAME_BAD;
	}
	if (len < FRAME_HEAD_LEN + body_len)
		return FRAME_MORE;
	frame_mac(c->recv_mac, c->recv_seq, data + FRAME_HEAD_LEN, body_len, mac);
	if (!equal_mac(mac, data + 4)) {
		error_set(err, ERR_UNAUTHORISED, "a frame does not carry a valid code");
		return FRAME_BAD;
	}
	c->recv_seq++;
	out->body = data + FRAME_HEAD_LEN;
	out->len = body_len;
	out->used = FRAME_HEAD_LEN + body_len;
	return FRAME_BODY;
}
