//! An error in a policy file, with its position.

/// An error in a policy file. It is displayed as `file:line:column: field: message`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}:{column}: {field}: {message}")]
pub struct PolicyError {
    /// Name of the file.
    pub file: String,
    /// Line number, starting at 1.
    pub line: usize,
    /// Column number in characters, starting at 1.
    pub column: usize,
    /// Path of the field, such as `route.reads.attempt`.
    pub field: String,
    /// Description of the error, with the violated rule and a valid value where there is one.
    pub message: String,
    /// Text of the line.
    pub source_line: String,
}

impl PolicyError {
    /// Formats the line with a caret under the position, over several lines.
    pub fn snippet(&self) -> String {
        let number = self.line.to_string();
        let margin = " ".repeat(number.len());
        let indent = " ".repeat(self.column - 1);
        format!("{margin} |\n{number} | {}\n{margin} | {indent}^", self.source_line)
    }
}
