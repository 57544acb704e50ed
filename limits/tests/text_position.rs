//! Conversion of byte offsets to lines and columns.

use notchdoor_limits::text_position::{line_at, TextPosition};

#[test]
fn byte_offsets_map_to_lines_and_columns() {
    let text = "ab\né = 1\n\nlast";
    for (offset, line, column, line_text) in [
        (0, 1, 1, "ab"),
        (2, 1, 3, "ab"),
        (3, 2, 1, "é = 1"),
        (4, 2, 1, "é = 1"), // Second byte of the letter.
        (5, 2, 2, "é = 1"),
        (10, 3, 1, ""),
        (11, 4, 1, "last"),
        (15, 4, 5, "last"),
        (99, 4, 5, "last"),
    ] {
        assert_eq!(TextPosition::of(text, offset), TextPosition { line, column }, "{offset}");
        assert_eq!(line_at(text, offset), line_text, "{offset}");
    }
    assert_eq!(TextPosition::of("", 0), TextPosition { line: 1, column: 1 });
    assert_eq!(line_at("", 7), "");
}
