#include "state.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Encode bytes as base64; free the result with g_free. */
char *store_json_encode_base64(const void *data, size_t len)
{
	return g_base64_encode(len > 0 ? data : (const void *)"", len);
}

/* Decode a base64 string. NULL decodes to no bytes; any other type fails. */
bool store_json_decode_base64(const json_t *text, struct bytes *out)
{
	g_autofree guchar *raw = NULL;
	gsize len = 0;

	if (text != NULL && !json_is_string(text))
		return false;
	if (text != NULL && json_string_length(text) > 0)
		raw = g_base64_decode(json_string_value(text), &len);
	*out = bytes_copy(raw, len);
	return true;
}

/* Read a 64-bit integer, which the protocol encodes as a string; 0 for other types. */
int64_t store_json_get_int(const json_t *v)
{
	if (json_is_integer(v))
		return json_integer_value(v);
	if (json_is_string(v))
		return strtoll(json_string_value(v), NULL, 10);
	return 0;
}

/* Set a member to a 64-bit integer, encoded as a string. */
void store_json_set_int(json_t *o, const char *key, int64_t v)
{
	char text[32];

	snprintf(text, sizeof(text), "%" PRId64, v);
	json_object_set_new(o, key, json_string(text));
}

/* Return the first key that sorts after all keys with a prefix, which must not be empty. */
char *store_json_prefix_end(const char *prefix)
{
	char *end = xstrdup(prefix);

	end[strlen(end) - 1]++;
	return end;
}

/* Encode a key-value pair. */
json_t *store_json_encode_kv(const struct store_kv *kv)
{
	json_t *o = json_object();
	g_autofree char *key = store_json_encode_base64(kv->key, strlen(kv->key));
	g_autofree char *value = store_json_encode_base64(kv->value.data, kv->value.len);

	json_object_set_new(o, "key", json_string(key));
	json_object_set_new(o, "value", json_string(value));
	store_json_set_int(o, "create_revision", kv->create_revision);
	store_json_set_int(o, "mod_revision", kv->mod_revision);
	if (kv->lease != 0)
		store_json_set_int(o, "lease", kv->lease);
	return o;
}

/* Decode a key-value pair; the caller must clear kv even on failure. */
bool store_json_decode_kv(const json_t *v, struct store_kv *kv)
{
	struct bytes key = {0};

	memset(kv, 0, sizeof(*kv));
	if (!store_json_decode_base64(json_object_get(v, "key"), &key))
		return false;
	kv->key = key.data;
	kv->create_revision = store_json_get_int(json_object_get(v, "create_revision"));
	kv->mod_revision = store_json_get_int(json_object_get(v, "mod_revision"));
	kv->lease = store_json_get_int(json_object_get(v, "lease"));
	return store_json_decode_base64(json_object_get(v, "value"), &kv->value);
}
