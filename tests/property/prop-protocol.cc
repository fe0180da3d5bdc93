#include "prop.h"

#include <string>
#include <vector>

/* Generate an inventory, which has all kinds of fields: numbers, text, bytes, structs, a list.
 */
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

/* A decoded message encodes to the same bytes as the original. */
static void codec_round_trip()
{
	msg m = random_inventory();
	bytes a = msg_encode(&m);
	msg decoded;
	bool ok = msg_decode(&decoded, a.data, a.len, nullptr);

	RC_ASSERT(ok);
	bytes b = msg_encode(&decoded);
	bool same_bytes = a.len == b.len && memcmp(a.data, b.data, a.len) == 0;
	msg_clear(&m);
	msg_clear(&decoded);
	bytes_clear(&a);
	bytes_clear(&b);
	RC_ASSERT(same_bytes);
}

/*
 * A message with one byte changed and possibly truncated is either decoded or rejected, without
 * invalid memory access.
 */
static void codec_corrupted_input()
{
	msg m = random_inventory();
	bytes a = msg_encode(&m);
	size_t len = *rc::gen::inRange<size_t>(0, a.len + 1);
	size_t changed = *rc::gen::inRange<size_t>(0, a.len);
	msg decoded;

	((uint8_t *)a.data)[changed] = *rc::gen::arbitrary<uint8_t>();
	if (msg_decode(&decoded, a.data, len, nullptr))
		msg_clear(&decoded);
	msg_clear(&m);
	bytes_clear(&a);
}

/*
 * Frames arrive whole and in order however the stream is split into reads. With one bit
 * flipped, not all of them arrive, and none with changed contents.
 */
static void frames_over_split_stream()
{
	keyring *keys = keyring_parse("a secret of some length", nullptr);
	frame_codec *dialler = frame_codec_new(keys, true),
		    *acceptor = frame_codec_new(keys, false);
	auto bodies = *rc::gen::container<std::vector<std::string>>(
		rc::gen::arbitrary<std::string>());
	GByteArray *wire = g_byte_array_new();
	frame_view view;
	size_t len, received = 0, consumed = 0, available = 0;
	bool flip_bit = *rc::gen::arbitrary<bool>() && !bodies.empty();

	const uint8_t *greeting = frame_greeting(acceptor, &len);
	RC_ASSERT(frame_decode(dialler, greeting, len, &view, nullptr) == FRAME_GREETED);
	greeting = frame_greeting(dialler, &len);
	g_byte_array_append(wire, greeting, (guint)len);
	for (auto &b : bodies)
		frame_encode(dialler, wire, b.data(), b.size());
	/*
	 * After the greeting and the 4 bytes with the length of the first frame: a larger
	 * length would only make the frame incomplete.
	 */
	if (flip_bit)
		wire->data[*rc::gen::inRange<size_t>(FRAME_GREETING_LEN + 4, wire->len)] ^= 1;
	bool rejected = false;
	while (!rejected && consumed < wire->len) {
		available = std::max(available, consumed) + *rc::gen::inRange<size_t>(1, 64);
		available = std::min<size_t>(available, wire->len);
		for (;;) {
			frame_result r = frame_decode(acceptor, wire->data + consumed,
				available - consumed, &view, nullptr);

			consumed += view.used;
			rejected = r == FRAME_INVALID;
			if (r == FRAME_BODY) {
				RC_ASSERT(std::string((const char *)view.body, view.len) ==
					  bodies[received]);
				received++;
			}
			if (r == FRAME_INCOMPLETE || rejected)
				break;
		}
		if (available == wire->len && !rejected)
			break;
	}
	RC_ASSERT((flip_bit ? received < bodies.size() : received == bodies.size()));
	frame_codec_free(acceptor);
	frame_codec_free(dialler);
	keyring_free(keys);
	g_byte_array_unref(wire);
}

/*
 * A greeting is accepted from a peer with either of the two keys configured during a key
 * rotation, and rejected from a peer with another key.
 */
static void greeting_requires_shared_key()
{
	keyring *accepted_keys =
		keyring_parse("the old secret of all,the new secret of all", nullptr);
	keyring *peer_keys =
		keyring_parse(*rc::gen::element("the new secret of all",
				      "the old secret of all", "some other secret"),
			nullptr);
	keyring *unknown_keys = keyring_parse("some other secret", nullptr);
	frame_codec *dialler = frame_codec_new(peer_keys, true),
		    *acceptor = frame_codec_new(accepted_keys, false);
	frame_codec *other_dialler = frame_codec_new(unknown_keys, true);
	frame_view view;
	size_t len;
	const uint8_t *greeting = frame_greeting(dialler, &len);
	/* A greeting starts with 4 fixed bytes and the id of the key. */
	bool same_key = memcmp(greeting, frame_greeting(other_dialler, &len),
				4 + FRAME_KEY_ID_LEN) == 0;

	RC_ASSERT((frame_decode(acceptor, greeting, len, &view, nullptr) == FRAME_GREETED) ==
		  !same_key);
	frame_codec_free(acceptor);
	frame_codec_free(dialler);
	frame_codec_free(other_dialler);
	keyring_free(accepted_keys);
	keyring_free(peer_keys);
	keyring_free(unknown_keys);
}

void prop_protocol()
{
	check_property(
		"protocol: a decoded message encodes to the same bytes", codec_round_trip);
	check_property("protocol: a corrupted message is rejected or decoded safely",
		codec_corrupted_input);
	check_property(
		"transport: frames arrive intact over any split; a flipped bit is detected",
		frames_over_split_stream);
	check_property("transport: a greeting is accepted only from a peer with a shared key",
		greeting_requires_shared_key);
}
