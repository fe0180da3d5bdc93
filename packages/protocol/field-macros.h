#ifndef DP_FIELD_MACROS_H
#define DP_FIELD_MACROS_H

/*
 * Initialisers for field tables. The names are short and unprefixed, so only files that define
 * such tables include this header.
 */

#define FIELD(k, s, f)                                                                         \
	{                                                                                      \
		.kind = (k), .offset = offsetof(struct s, f)                                   \
	}
#define U32(s, f)   FIELD(FIELD_U32, s, f)
#define U64(s, f)   FIELD(FIELD_U64, s, f)
#define I64(s, f)   FIELD(FIELD_I64, s, f)
#define BOOL(s, f)  FIELD(FIELD_BOOL, s, f)
#define TEXT(s, f)  FIELD(FIELD_TEXT, s, f)
#define BYTES(s, f) FIELD(FIELD_BYTES, s, f)
#define STRUCT(s, f, t)                                                                        \
	{                                                                                      \
		.kind = FIELD_STRUCT, .offset = offsetof(struct s, f),                         \
		.nested_table = &t##_fields                                                    \
	}
#define LIST(s, f, t)                                                                          \
	{                                                                                      \
		.kind = FIELD_LIST, .offset = offsetof(struct s, f),                           \
		.len_offset = offsetof(struct s, f##_len), .nested_table = &t##_fields         \
	}
#define TABLE(s)                                                                               \
	{                                                                                      \
		.name = #s, .size = sizeof(struct s), .fields = s##_list,                      \
		.count = ARRAY_LEN(s##_list)                                                   \
	}

#endif
