//! Tests of the command line definition.

use super::*;

#[test]
fn command_line_definition_is_valid() {
    CommandLine::command().debug_assert();
}
