#include "prop.h"

#include <string>
#include <vector>

/* A random message of some kinds with nested parts. */
static msg random_inventory()
{
	msg m = {};
	auto n = *rc::gen::inRange<uint32_t>(0, 5);

	m.kind = MSG_INVENTORY;
	m.inventory.term = *rc::gen::arbitrary<uint64_t>();
	m.inventory.members_len = n;
	m.inventory.members = (member_record *)xcalloc(n, sizeof(member_record));
	for (uint32_t i = 0; i < n; i++) {
		member_record *r = &m.inventory.members[i];
		auto payload = *rc::gen::arbitrary<std::vector<uint8_t>>();

		xasprintf(&r->spec.id, "job-%u", *rc::gen::arbitrary<uint32_t>());
		r->spec.accelerators = *rc::gen::arbitrary<uint32_t>();
		r->spec.deadline_ms = *rc::gen::arbitrary<int64_t>();
		r->spec.idempotent = *rc::gen::arbitrary<bool>();
		r->spec.payload = bytes_copy(payload.data(), payload.size());
		r->attempt = *rc::gen::arbitrary<uint32_t>();
	}
	return m;
}

/* What is encoded is decoded to the same, and encodes to the same bytes again. */
static void codec_round_trip()
{
	msg m = random_inventory();
	bytes a = msg_encode(&m);
	msg back;
	bool ok = msg_decode(&back, a.data, a.len, nullptr);

	RC_ASSERT(ok);
	bytes b = msg_encode(&back);
	bool same = a.len == b.len && memcmp(a.data, b.data, a.len) == 0;
	msg_clear(&m);
	msg_clear(&back);
	bytes_clear(&a);
	bytes_clear(&b);
	RC_ASSERT(same);
}

/* A message that is cut or changed is refused or decoded, never more than read. */
static void codec_damage()
{
	msg m = random_inventory();
	bytes a = msg_encode(&m);
	size_t len = *rc::gen::inRange<size_t>(0, a.len + 1);
	size_t at = *rc::gen::inRange<size_t>(0, a.len);
	msg back;

	((uint8_t *)a.data)[at] = *rc::gen::arbitrary<uint8_t>();
	if (msg_decode(&back, a.data, len, nullptr))
		msg_clear(&back);
	msg_clear(&m);
	bytes_clear(&a);
}

/* Frames arrive whole and in order over any cut of the stream; a flipped bit ends it. */
static void frames_over_any_cut()
{
	keyring *keys = keyring_parse("a secret of some length", nullptr);
	frame_codec *d = frame_codec_new(keys, true), *a = frame_codec_new(keys, false);
	auto bodies = *rc::gen::container<std::vector<std::string>>(rc::gen::arbitrary<std::string>());
	GByteArray *wire = g_byte_array_new();
	frame_view view;
	size_t len, got = 0, at = 0, seen = 0;
	bool flip = *rc::gen::arbitrary<bool>() && !bodies.empty();

	const uint8_t *g = frame_greeting(a, &len);
	RC_ASSERT(frame_decode(d, g, len, &view, nullptr) == FRAME_GREETED);
	g = frame_greeting(d, &len);
	g_byte_array_append(wire, g, (guint)len);
	for (auto &b : bodies)
		frame_encode(d, wire, b.data(), b.size());
	if (flip)
		wire->data[*rc::gen::inRange<size_t>(FRAME_GREET_LEN + 4, wire->len)] ^= 1;
	bool bad = false;
	while (!bad && at < wire->len) {
		seen = std::max(seen, at) + *rc::gen::inRange<size_t>(1, 64);
		seen = std::min<size_t>(seen, wire->len);
		for (;;) {
			frame_result r = frame_decode(a, wire->data + at, seen - at, &view, nullptr);

			at += view.used;
			bad = r == FRAME_BAD;
			if (r == FRAME_BODY) {
				RC_ASSERT(std::string((const char *)view.body, view.len) == bodies[got]);
				got++;
			}
			if (r == FRAME_MORE || bad)
				break;
		}
		if (seen == wire->len && !bad)
			break;
	}
	RC_ASSERT((flip ? got < bodies.size() : got == bodies.size()));
	frame_codec_free(a);
	frame_codec_free(d);
	keyring_free(keys);
	g_byte_array_unref(wire);
}

/* A peer with another key gets nowhere; one with either of two keys during a change does. */
static void keys_must_match()
{
	keyring *ours = keyring_parse("the old secret of all,the new secret of all", nullptr);
	keyring *theirs = keyring_parse(*rc::gen::element("the new secret of all",
						"the old secret of all", "some other secret"),
		nullptr);
	keyring *other = keyring_parse("some other secret", nullptr);
	frame_codec *d = frame_codec_new(theirs, true), *a = frame_codec_new(ours, false);
	frame_codec *o = frame_codec_new(other, true);
	frame_view view;
	size_t len;
	const uint8_t *g = frame_greeting(d, &len);
	bool same = memcmp(g, frame_greeting(o, &len), 4 + FRAME_KEY_ID) == 0;

	RC_ASSERT((frame_decode(a, g, len, &view, nullptr) == FRAME_GREETED) == !same);
	frame_codec_free(a);
	frame_codec_free(d);
	frame_codec_free(o);
	keyring_free(ours);
	keyring_free(theirs);
	keyring_free(other);
}

void prop_protocol()
{
	prop("protocol: a message survives encoding", codec_round_trip);
	prop("protocol: a damaged message is harmless", codec_damage);
	prop("transport: frames survive any cut, no flipped bit passes", frames_over_any_cut);
	prop("transport: only a shared key opens a connection", keys_must_match);
}
