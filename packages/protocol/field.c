#include "protocol.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#define LIST_ITEMS_MAX 100000 /* items in one list */

/*
 * A struct is encoded as an array of its fields in the order of the table. New fields may only
 * be added at the end: fields missing from a shorter array stay zero, and elements after the
 * known fields are ignored. This lets two versions communicate during a rolling upgrade.
 */

#define FIELD_PTR(s, f, type) ((type *)((char *)(s) + (f)->offset))

static void pack_struct(msgpack_packer *pk, const struct field_table *t, const void *s);

/* Pack one field of a struct. */
static void pack_field(msgpack_packer *pk, const struct field *f, void *s)
{
	const struct bytes *b;
	const char *text;
	uint32_t n;

	switch (f->kind) {
	case FIELD_U32:
		msgpack_pack_uint32(pk, *FIELD_PTR(s, f, uint32_t));
		break;
	case FIELD_U64:
		msgpack_pack_uint64(pk, *FIELD_PTR(s, f, uint64_t));
		break;
	case FIELD_I64:
		msgpack_pack_int64(pk, *FIELD_PTR(s, f, int64_t));
		break;
	case FIELD_BOOL:
		if (*FIELD_PTR(s, f, bool))
			msgpack_pack_true(pk);
		else
			msgpack_pack_false(pk);
		break;
	case FIELD_TEXT:
		text = *FIELD_PTR(s, f, char *);
		if (text == NULL)
			msgpack_pack_nil(pk);
		else
			msgpack_pack_str_with_body(pk, text, strlen(text));
		break;
	case FIELD_BYTES:
		b = FIELD_PTR(s, f, struct bytes);
		msgpack_pack_bin_with_body(pk, b->data ? b->data : "", b->len);
		break;
	case FIELD_STRUCT:
		pack_struct(pk, f->nested_table, FIELD_PTR(s, f, char));
		break;
	case FIELD_LIST:
		n = *(uint32_t *)((char *)s + f->len_offset);
		msgpack_pack_array(pk, n);
		for (uint32_t i = 0; i < n; i++)
			pack_struct(pk, f->nested_table,
				*FIELD_PTR(s, f, char *) + i * f->nested_table->size);
		break;
	}
}

/* Pack a struct as an array of its fields. */
static void pack_struct(msgpack_packer *pk, const struct field_table *t, const void *s)
{
	msgpack_pack_array(pk, t->count);
	for (size_t i = 0; i < t->count; i++)
		pack_field(pk, &t->fields[i], (void *)s);
}

/* Encode a struct; the caller frees the result with bytes_clear. */
struct bytes fields_encode(const struct field_table *t, const void *s)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;
	struct bytes out;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	pack_struct(&pk, t, s);
	out.len = buf.size;
	out.data = msgpack_sbuffer_release(&buf);
	return out;
}

static bool unpack_struct(const struct field_table *t, void *s, const msgpack_object *o);

/* Unpack a list of structs. On failure the list holds the items decoded so far. */
static bool unpack_list(const struct field *f, void *s, const msgpack_object *o)
{
	uint32_t n;
	char *items;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size > LIST_ITEMS_MAX)
		return false;
	n = o->via.array.size;
	items = xcalloc(n, f->nested_table->size);
	*FIELD_PTR(s, f, char *) = items;
	*(uint32_t *)((char *)s + f->len_offset) = n;
	for (uint32_t i = 0; i < n; i++) {
		if (!unpack_struct(f->nested_table, items + i * f->nested_table->size,
			    &o->via.array.ptr[i]))
			return false;
	}
	return true;
}

/* Copy a string; nil leaves NULL, and a string with an embedded NUL is rejected. */
static bool unpack_text(char **out, const msgpack_object *o)
{
	if (o->type == MSGPACK_OBJECT_NIL)
		return true;
	if (o->type != MSGPACK_OBJECT_STR ||
		memchr(o->via.str.ptr, '\0', o->via.str.size) != NULL)
		return false;
	*out = bytes_copy(o->via.str.ptr, o->via.str.size).data;
	return true;
}

/* Unpack one field; false if the type or range does not match. */
static bool unpack_field(const struct field *f, void *s, const msgpack_object *o)
{
	bool is_uint = o->type == MSGPACK_OBJECT_POSITIVE_INTEGER;

	switch (f->kind) {
	case FIELD_U32:
		if (!is_uint || o->via.u64 > UINT32_MAX)
			return false;
		*FIELD_PTR(s, f, uint32_t) = (uint32_t)o->via.u64;
		return true;
	case FIELD_U64:
		if (is_uint)
			*FIELD_PTR(s, f, uint64_t) = o->via.u64;
		return is_uint;
	case FIELD_I64:
		if (!(is_uint && o->via.u64 <= INT64_MAX) &&
			o->type != MSGPACK_OBJECT_NEGATIVE_INTEGER)
			return false;
		*FIELD_PTR(s, f, int64_t) = o->via.i64;
		return true;
	case FIELD_BOOL:
		if (o->type != MSGPACK_OBJECT_BOOLEAN)
			return false;
		*FIELD_PTR(s, f, bool) = o->via.boolean;
		return true;
	case FIELD_TEXT:
		return unpack_text(FIELD_PTR(s, f, char *), o);
	case FIELD_BYTES:
		if (o->type != MSGPACK_OBJECT_BIN)
			return false;
		*FIELD_PTR(s, f, struct bytes) = bytes_copy(o->via.bin.ptr, o->via.bin.size);
		return true;
	case FIELD_STRUCT:
		return unpack_struct(f->nested_table, FIELD_PTR(s, f, char), o);
	case FIELD_LIST:
		return unpack_list(f, s, o);
	}
	return false;
}

/* Unpack a struct from an array; extra elements are ignored. */
static bool unpack_struct(const struct field_table *t, void *s, const msgpack_object *o)
{
	if (o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (size_t i = 0; i < t->count && i < o->via.array.size; i++) {
		if (!unpack_field(&t->fields[i], s, &o->via.array.ptr[i]))
			return false;
	}
	return true;
}

/* Read a big-endian number of 1, 2 or 4 bytes. */
static size_t read_length(const uint8_t *p, size_t bytes)
{
	size_t n = 0;

	for (size_t i = 0; i < bytes; i++)
		n = n << 8 | p[i];
	return n;
}

/*
 * Whether no array or map claims more elements than there are bytes left. The library allocates
 * an array before it reads the elements, and so as much memory as a few bytes ask for.
 */
static bool lengths_fit(const uint8_t *p, size_t len)
{
	/* By type from 0xc0 to 0xdf: bytes of the length that follows, bytes to skip. */
	static const struct {
		uint8_t length;
		uint8_t skip;
	} types[32] = {[0x04] = {1, 0},
		[0x05] = {2, 0},
		[0x06] = {4, 0},
		[0x07] = {1, 1},
		[0x08] = {2, 1},
		[0x09] = {4, 1},
		[0x0a] = {0, 4},
		[0x0b] = {0, 8},
		[0x0c] = {0, 1},
		[0x0d] = {0, 2},
		[0x0e] = {0, 4},
		[0x0f] = {0, 8},
		[0x10] = {0, 1},
		[0x11] = {0, 2},
		[0x12] = {0, 4},
		[0x13] = {0, 8},
		[0x14] = {0, 2},
		[0x15] = {0, 3},
		[0x16] = {0, 5},
		[0x17] = {0, 9},
		[0x18] = {0, 17},
		[0x19] = {1, 0},
		[0x1a] = {2, 0},
		[0x1b] = {4, 0},
		[0x1c] = {2, 0},
		[0x1d] = {4, 0},
		[0x1e] = {2, 0},
		[0x1f] = {4, 0}};

	for (size_t i = 0; i < len;) {
		uint8_t type = p[i++];
		size_t skip = 0;
		size_t elements = 0;

		if (type >= 0x80 && type <= 0x9f) {
			elements = type & 0x0f;
		} else if (type >= 0xa0 && type <= 0xbf) {
			skip = type & 0x1f;
		} else if (type >= 0xc0 && type <= 0xdf) {
			size_t bytes = types[type - 0xc0].length;

			if (bytes > len - i)
				return false;
			skip = read_length(p + i, bytes);
			i += bytes;
			if (type >= 0xdc) {
				elements = skip;
				skip = 0;
			}
			skip += types[type - 0xc0].skip;
		}
		if (elements > len - i || skip > len - i)
			return false;
		i += skip;
	}
	return true;
}

/* Decode into a zeroed struct, which is cleared again on an error. */
bool fields_decode(
	const struct field_table *t, void *s, const void *data, size_t len, GError **err)
{
	msgpack_unpacked unpacked;
	size_t consumed = 0;
	bool ok;

	msgpack_unpacked_init(&unpacked);
	ok = lengths_fit(data, len) &&
	     msgpack_unpack_next(&unpacked, data, len, &consumed) == MSGPACK_UNPACK_SUCCESS &&
	     consumed == len && unpack_struct(t, s, &unpacked.data);
	msgpack_unpacked_destroy(&unpacked);
	if (ok)
		return true;
	fields_clear(t, s);
	error_set(err, ERR_PROTOCOL, "a malformed %s", t->name);
	return false;
}

/* Free the memory that a struct's fields own and zero the struct. */
void fields_clear(const struct field_table *t, void *s)
{
	for (size_t i = 0; i < t->count; i++) {
		const struct field *f = &t->fields[i];
		uint32_t n;

		switch (f->kind) {
		case FIELD_TEXT:
			free(*FIELD_PTR(s, f, char *));
			break;
		case FIELD_BYTES:
			bytes_clear(FIELD_PTR(s, f, struct bytes));
			break;
		case FIELD_STRUCT:
			fields_clear(f->nested_table, FIELD_PTR(s, f, char));
			break;
		case FIELD_LIST:
			n = *(uint32_t *)((char *)s + f->len_offset);
			for (uint32_t j = 0; j < n; j++)
				fields_clear(f->nested_table,
					*FIELD_PTR(s, f, char *) + j * f->nested_table->size);
			free(*FIELD_PTR(s, f, char *));
			break;
		case FIELD_U32:
		case FIELD_U64:
		case FIELD_I64:
		case FIELD_BOOL:
			break;
		}
	}
	memset(s, 0, t->size);
}

/* Deep-copy a struct; the previous contents of the target are overwritten, not freed. */
void fields_copy(const struct field_table *t, void *to, const void *from)
{
	memcpy(to, from, t->size);
	for (size_t i = 0; i < t->count; i++) {
		const struct field *f = &t->fields[i];
		const struct bytes *b;
		uint32_t n;
		char *items;

		switch (f->kind) {
		case FIELD_TEXT:
			*FIELD_PTR(to, f, char *) = xstrdup(*FIELD_PTR(from, f, char *));
			break;
		case FIELD_BYTES:
			b = FIELD_PTR(from, f, struct bytes);
			if (b->data != NULL)
				*FIELD_PTR(to, f, struct bytes) = bytes_copy(b->data, b->len);
			break;
		case FIELD_STRUCT:
			fields_copy(f->nested_table, FIELD_PTR(to, f, char),
				FIELD_PTR(from, f, char));
			break;
		case FIELD_LIST:
			n = *(const uint32_t *)((const char *)from + f->len_offset);
			items = xcalloc(n, f->nested_table->size);
			for (uint32_t j = 0; j < n; j++)
				fields_copy(f->nested_table, items + j * f->nested_table->size,
					*FIELD_PTR(from, f, char *) +
						j * f->nested_table->size);
			*FIELD_PTR(to, f, char *) = items;
			break;
		case FIELD_U32:
		case FIELD_U64:
		case FIELD_I64:
		case FIELD_BOOL:
			break;
		}
	}
}
