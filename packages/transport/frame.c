#include "transport.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#define HMAC_LEN       32 /* bytes of an HMAC-SHA256 and of its key */
#define KEYS_MAX       2
#define SECRET_LEN_MIN 16 /* characters */
#define GREETING_MAGIC "DMP1"

struct frame_key {
	uint8_t bytes[HMAC_LEN];
	uint8_t id[FRAME_KEY_ID_LEN];
};

/* Diallers use the first key; acceptors accept any of them. */
struct keyring {
	struct frame_key keys[KEYS_MAX];
	size_t count;
};

struct frame_codec {
	const struct keyring *keys;
	bool dialler;
	/* The peer's greeting has been processed. */
	bool ready;
	uint8_t greeting[FRAME_GREETING_LEN];
	GHmac *send_mac;
	GHmac *recv_mac;
	uint64_t send_seq;
	uint64_t recv_seq;
};

/* Computes the HMAC-SHA256 of up to three concatenated parts. */
static void hmac_sha256_parts(const uint8_t *key, const void *a, size_t a_len, const void *b,
	size_t b_len, const void *c, size_t c_len, uint8_t out[HMAC_LEN])
{
	GHmac *mac = g_hmac_new(G_CHECKSUM_SHA256, key, HMAC_LEN);
	gsize len = HMAC_LEN;

	g_hmac_update(mac, a, (gssize)a_len);
	if (b_len > 0)
		g_hmac_update(mac, b, (gssize)b_len);
	if (c_len > 0)
		g_hmac_update(mac, c, (gssize)c_len);
	g_hmac_get_digest(mac, out, &len);
	g_hmac_unref(mac);
}

/* Parses one secret, or two separated by a comma, as needed during a key rotation. */
struct keyring *keyring_parse(const char *text, GError **err)
{
	g_auto(GStrv) parts = g_strsplit(text, ",", -1);
	struct keyring *k = xcalloc(1, sizeof(*k));

	for (size_t i = 0; parts[i] != NULL; i++) {
		struct frame_key *s = &k->keys[i];
		GChecksum *sum;
		gsize len = HMAC_LEN;
		uint8_t id[HMAC_LEN];

		if (i == KEYS_MAX || strlen(parts[i]) < SECRET_LEN_MIN) {
			error_set(err, ERR_INVALID,
				"setting peer-keys: expected one or two secrets of at least %d "
				"characters, separated by a comma",
				SECRET_LEN_MIN);
			free(k);
			return NULL;
		}
		sum = g_checksum_new(G_CHECKSUM_SHA256);
		g_checksum_update(sum, (const guchar *)parts[i], -1);
		g_checksum_get_digest(sum, s->bytes, &len);
		g_checksum_free(sum);
		hmac_sha256_parts(s->bytes, "id", 2, NULL, 0, NULL, 0, id);
		memcpy(s->id, id, FRAME_KEY_ID_LEN);
		k->count++;
	}
	return k;
}

void keyring_free(struct keyring *k)
{
	free(k);
}

/* Creates the codec of one connection; keys must outlive it. */
struct frame_codec *frame_codec_new(const struct keyring *keys, bool dialler)
{
	struct frame_codec *c = xcalloc(1, sizeof(*c));

	c->keys = keys;
	c->dialler = dialler;
	memcpy(c->greeting, GREETING_MAGIC, 4);
	memcpy(c->greeting + 4, keys->keys[0].id, FRAME_KEY_ID_LEN);
	random_bytes(c->greeting + 4 + FRAME_KEY_ID_LEN, FRAME_NONCE_LEN);
	return c;
}

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

/* Returns the greeting, which must be the first bytes sent on the connection. */
const uint8_t *frame_greeting(struct frame_codec *c, size_t *len)
{
	*len = FRAME_GREETING_LEN;
	return c->greeting;
}

/* Returns whether the peer's greeting has been accepted. */
bool frame_ready(const struct frame_codec *c)
{
	return c->ready;
}

size_t frame_size(const struct frame_codec *c, const uint8_t *data, size_t len)
{
	uint32_t len_be;

	if (!c->ready)
		return FRAME_GREETING_LEN;
	if (len < FRAME_HEADER_LEN)
		return FRAME_HEADER_LEN;
	memcpy(&len_be, data, sizeof(len_be));
	return FRAME_HEADER_LEN + (size_t)ntohl(len_be);
}

/* Derives the key of one direction and returns an HMAC context with it. */
static GHmac *direction_hmac_new(const struct frame_key *s, const uint8_t *dialler_nonce,
	const uint8_t *acceptor_nonce, const char *direction)
{
	uint8_t key[HMAC_LEN];

	hmac_sha256_parts(s->bytes, dialler_nonce, FRAME_NONCE_LEN, acceptor_nonce,
		FRAME_NONCE_LEN, direction, strlen(direction), key);
	return g_hmac_new(G_CHECKSUM_SHA256, key, HMAC_LEN);
}

/* Finds the key that the dialler selected. */
static const struct frame_key *find_key(const struct keyring *k, const uint8_t *id)
{
	for (size_t i = 0; i < k->count; i++) {
		if (memcmp(k->keys[i].id, id, FRAME_KEY_ID_LEN) == 0)
			return &k->keys[i];
	}
	return NULL;
}

/* Checks the peer's greeting and derives the keys of both directions. */
static bool process_greeting(struct frame_codec *c, const uint8_t *data, GError **err)
{
	const uint8_t *local_nonce = c->greeting + 4 + FRAME_KEY_ID_LEN;
	const uint8_t *peer_nonce = data + 4 + FRAME_KEY_ID_LEN;
	const uint8_t *id = c->dialler ? c->greeting + 4 : data + 4;
	const struct frame_key *s = find_key(c->keys, id);

	if (memcmp(data, GREETING_MAGIC, 4) != 0) {
		error_set(err, ERR_PROTOCOL, "the greeting is not of this protocol");
		return false;
	}
	if (s == NULL) {
		error_set(err, ERR_UNAUTHORISED, "the greeting names an unknown key");
		return false;
	}
	if (c->dialler) {
		c->send_mac = direction_hmac_new(s, local_nonce, peer_nonce, "d");
		c->recv_mac = direction_hmac_new(s, local_nonce, peer_nonce, "a");
	} else {
		c->send_mac = direction_hmac_new(s, peer_nonce, local_nonce, "a");
		c->recv_mac = direction_hmac_new(s, peer_nonce, local_nonce, "d");
	}
	c->ready = true;
	return true;
}

/* Computes the MAC of a frame: the sequence number, then the body. */
static void compute_frame_mac(
	GHmac *base, uint64_t seq, const void *body, size_t len, uint8_t out[FRAME_MAC_LEN])
{
	GHmac *mac = g_hmac_copy(base);
	uint8_t full[HMAC_LEN];
	gsize full_len = HMAC_LEN;
	uint64_t seq_be = GUINT64_TO_BE(seq);

	g_hmac_update(mac, (const guchar *)&seq_be, sizeof(seq_be));
	g_hmac_update(mac, body, (gssize)len);
	g_hmac_get_digest(mac, full, &full_len);
	g_hmac_unref(mac);
	memcpy(out, full, FRAME_MAC_LEN);
}

/* Appends a frame to out; the codec must be ready. */
void frame_encode(struct frame_codec *c, GByteArray *out, const void *body, size_t len)
{
	uint32_t len_be = htonl((uint32_t)len);
	uint8_t mac[FRAME_MAC_LEN];

	compute_frame_mac(c->send_mac, c->send_seq++, body, len, mac);
	g_byte_array_append(out, (const guint8 *)&len_be, sizeof(len_be));
	g_byte_array_append(out, mac, sizeof(mac));
	g_byte_array_append(out, body, (guint)len);
}

/* Compares two MACs in constant time, so that timing does not reveal a matching prefix. */
static bool mac_equal(const uint8_t *a, const uint8_t *b)
{
	uint8_t diff = 0;

	for (size_t i = 0; i < FRAME_MAC_LEN; i++)
		diff |= a[i] ^ b[i];
	return diff == 0;
}

/* Decodes a greeting or frame at the start of the input; out->used bytes are consumed. */
enum frame_result frame_decode(struct frame_codec *c, const uint8_t *data, size_t len,
	struct frame_view *out, GError **err)
{
	uint8_t mac[FRAME_MAC_LEN];
	uint32_t len_be;
	size_t body_len;

	out->used = 0;
	if (!c->ready) {
		if (len < FRAME_GREETING_LEN)
			return FRAME_INCOMPLETE;
		out->used = FRAME_GREETING_LEN;
		return process_greeting(c, data, err) ? FRAME_GREETED : FRAME_INVALID;
	}
	if (len < FRAME_HEADER_LEN)
		return FRAME_INCOMPLETE;
	memcpy(&len_be, data, sizeof(len_be));
	body_len = ntohl(len_be);
	if (body_len > FRAME_BODY_MAX) {
		error_set(err, ERR_TOO_LARGE, "a frame body of %zu bytes exceeds the limit",
			body_len);
		return FRAME_INVALID;
	}
	if (len < FRAME_HEADER_LEN + body_len)
		return FRAME_INCOMPLETE;
	compute_frame_mac(c->recv_mac, c->recv_seq, data + FRAME_HEADER_LEN, body_len, mac);
	if (!mac_equal(mac, data + 4)) {
		error_set(err, ERR_UNAUTHORISED, "a frame has an invalid authentication code");
		return FRAME_INVALID;
	}
	c->recv_seq++;
	out->body = data + FRAME_HEADER_LEN;
	out->len = body_len;
	out->used = FRAME_HEADER_LEN + body_len;
	return FRAME_BODY;
}
