//! Converts byte offsets in a text to line and column numbers for error messages.

/// A position in a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TextPosition {
    /// Line number, starting at 1.
    pub line: usize,
    /// Column number in characters, starting at 1.
    pub column: usize,
}

impl TextPosition {
    /// Position of a byte offset. An offset beyond the text gives the end of the text; an offset inside a multi-byte
    /// character gives the position of that character.
    pub fn of(text: &str, offset: usize) -> Self {
        let before = &text[..char_boundary(text, offset)];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        TextPosition {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}

/// Text of the line that contains a byte offset, without its line break.
pub fn line_at(text: &str, offset: usize) -> &str {
    let at = char_boundary(text, offset);
    let line_start = text[..at].rfind('\n').map_or(0, |newline| newline + 1);
    text[line_start..].lines().next().unwrap_or("")
}

fn char_boundary(text: &str, offset: usize) -> usize {
    let mut at = offset.min(text.len());
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    at
}
