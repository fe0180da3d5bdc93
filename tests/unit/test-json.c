#include "unit.h"

#include "platform.h"

#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

/* Reading documents of strangers: what is read, and at what cost. */

#define REPORT_MAX (4u * 1024 * 1024)

static const char *const members[] = {"a", "service", NULL};

/* A text whose end is followed by memory that must not be read. */
struct guarded {
	char *base;
	size_t size;
	struct bytes text;
};

static void guarded_init(struct guarded *g, const char *text, size_t len)
{
	size_t page = (size_t)sysconf(_SC_PAGESIZE);

	g->size = (len + page - 1) / page * page + page;
	g->base =
		mmap(NULL, g->size, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
	CU_ASSERT_PTR_NOT_EQUAL_FATAL(g->base, MAP_FAILED);
	g->text = (struct bytes){g->base + g->size - page - len, len};
	memcpy(g->text.data, text, len);
	mprotect(g->base + g->size - page, page, PROT_NONE);
}

static void guarded_clear(struct guarded *g)
{
	munmap(g->base, g->size);
}

/* The steps of parsing a text that repeats a piece up to a length. */
static size_t count_steps(const char *head, const char *piece, const char *tail, size_t len)
{
	GString *text = g_string_new(head);
	struct guarded g;
	size_t steps = 0;

	while (text->len + strlen(piece) + strlen(tail) <= len)
		g_string_append(text, piece);
	g_string_append(text, tail);
	guarded_init(&g, text->str, text->len);
	json_decref(pf_json_parse_members(&g.text, members, "test", &steps));
	json_decref(pf_json_parse(&g.text, "test"));
	CU_ASSERT_TRUE(steps <= 4 * text->len);
	guarded_clear(&g);
	g_string_free(text, TRUE);
	return steps;
}

/*
 * Guards against a report that keeps an agent busy for half a minute (Acks): twice the length
 * takes twice the steps, whatever the text is, and nothing reads on to the end of the text.
 */
static void test_cost_is_linear(void)
{
	static const char *const texts[][3] = {
		{"{\"a\":\"", "\\u0000", "\"}"},
		{"{\"b\":\"", "\\u0000", "\"}"},
		{"{\"b\":\"", "\\ud800", "\"}"},
		{"{\"b\":\"", "\\ud83d\\ude00", "\"}"},
		{"{\"b\":\"", "\\", "\"}"},
		{"{\"b\":\"", "\xff", "\"}"},
		{"{\"b\":\"", "\xf0\x9f\x98\x80", "\"}"},
		{"{\"b\":\"", "x", ""},
		{"{\"b\":", "[", ""},
		{"{\"b\":", "{\"", ""},
		{"{\"b\":[", "[],", "0]}"},
		{"{\"b\":[", "1e999,", "0]}"},
		{"{\"b\":", "1", "}"},
		{"{\"b\":0.", "0", "e1}"},
		{"{", "\"b\":1,", "\"c\":0}"},
		{"{", "\"\\u0000\":1,", "\"c\":0}"},
		{"{\"", "\\u0061", "\":0}"},
		{"{", " ", "}"},
		{"", "{\"b\":", ""},
		{"", "\"", ""},
	};

	for (size_t i = 0; i < ARRAY_LEN(texts); i++) {
		size_t half =
			count_steps(texts[i][0], texts[i][1], texts[i][2], REPORT_MAX / 2);
		size_t whole = count_steps(texts[i][0], texts[i][1], texts[i][2], REPORT_MAX);

		CU_ASSERT_TRUE(whole <= 2 * half + 64);
	}
}

static size_t allocated;

static void *count_malloc(size_t n)
{
	allocated += n;
	return malloc(n);
}

/* Guards against a report that takes many times its size: what isn't asked for takes none. */
static void test_members_take_little_memory(void)
{
	static const char *const pieces[] = {"[],", "{},", "1,", "\"\","};

	for (size_t i = 0; i < ARRAY_LEN(pieces); i++) {
		GString *text = g_string_new("{\"service\":\"s\",\"b\":[");
		struct bytes b;
		json_t *o;

		while (text->len < REPORT_MAX)
			g_string_append(text, pieces[i]);
		g_string_append(text, "0]}");
		b = (struct bytes){text->str, text->len};
		allocated = 0;
		json_set_alloc_funcs(count_malloc, free);
		o = pf_json_parse_members(&b, members, "test", NULL);
		json_set_alloc_funcs(malloc, free);
		CU_ASSERT_STRING_EQUAL(json_string_value(json_object_get(o, "service")), "s");
		CU_ASSERT_TRUE(allocated < 65536);
		json_decref(o);
		g_string_free(text, TRUE);
	}
}

/* What is read of a document, as compact JSON; "-" if nothing is. */
static void test_what_is_read(void)
{
	static const struct {
		const char *text;
		const char *whole;
		const char *part;
	} rows[] = {
		{"{\"a\":1}", "{\"a\":1}", "{\"a\":1}"},
		{" { \"a\" : [ 1 , {} ] , \"b\":2}\n", "{\"a\":[1,{}],\"b\":2}",
			"{\"a\":[1,{}]}"},
		{"{}", "{}", "{}"},
		{"{\"b\":1}", "{\"b\":1}", "{}"},
		{"{\"\\u0061\":1}", "{\"a\":1}", "{\"a\":1}"},
		/* A value that is no text is no other text. */
		{"{\"a\":\"x\\u0000y\"}", "{\"a\":null}", "{\"a\":null}"},
		{"{\"a\":\"\\ud800\"}", "{\"a\":null}", "{\"a\":null}"},
		{"{\"a\":\"\\ud83d\\ude00\",\"b\":1e999}",
			"{\"a\":\"\xf0\x9f\x98\x80\",\"b\":null}",
			"{\"a\":\"\xf0\x9f\x98\x80\"}"},
		{"{\"a\":\"\xff\"}", "{\"a\":null}", "{\"a\":null}"},
		{"{\"a\":\"\\q\"}", "{\"a\":null}", "{\"a\":null}"},
		{"{\"a\":\"\n\"}", "{\"a\":null}", "{\"a\":null}"},
		{"{\"\\u0000\":1,\"a\":2}", "{\"\xef\xbf\xbd\":1,\"a\":2}", "-"},
		{"{\"a\":99999999999999999999}", "{\"a\":null}", "{\"a\":null}"},
		{"{\"a\":[[[[[[[[[[[[[[[[[[\"]\"]]]]]]]]]]]]]]]]]]}",
			"{\"a\":[[[[[[[[[[[[[[[[[[\"]\"]]]]]]]]]]]]]]]]]]}",
			"{\"a\":[[[[[[[[[[[[[[[null]]]]]]]]]]]]]]]}"},
		{"{\"a\":1", "-", "-"},
		{"{\"a\":1}}", "-", "-"},
		{"{\"a\":1,}", "-", "-"},
		{"{\"a\":01}", "-", "-"},
		{"{\"a\":1 2}", "-", "-"},
		{"{\"b\":[1 2],\"a\":1}", "-", "-"},
		{"{\"a\" 1}", "-", "-"},
		{"{a:1}", "-", "-"},
		{"{\"a\":tru}", "-", "-"},
		{"{\"a\":\"x}", "-", "-"},
		{"[1]", "[1]", "-"},
		{"7", "-", "-"},
		{"", "-", "-"},
	};

	for (size_t i = 0; i < ARRAY_LEN(rows); i++) {
		struct guarded g;
		json_t *whole;
		json_t *part;
		AUTOFREE char *whole_text = NULL;
		AUTOFREE char *part_text = NULL;

		guarded_init(&g, rows[i].text, strlen(rows[i].text));
		whole = pf_json_parse(&g.text, "test");
		part = pf_json_parse_members(&g.text, members, "test", NULL);
		whole_text = whole != NULL ? json_dumps(whole, JSON_COMPACT) : xstrdup("-");
		part_text = part != NULL ? json_dumps(part, JSON_COMPACT) : xstrdup("-");
		CU_ASSERT_STRING_EQUAL(whole_text, rows[i].whole);
		CU_ASSERT_STRING_EQUAL(part_text, rows[i].part);
		json_decref(whole);
		json_decref(part);
		guarded_clear(&g);
	}
}

void unit_json(CU_pSuite s)
{
	CU_add_test(s, "the cost of a document is linear", test_cost_is_linear);
	CU_add_test(s, "members that aren't asked for take no memory",
		test_members_take_little_memory);
	CU_add_test(s, "what is read of a document", test_what_is_read);
}
