//! Operators' scripts read the counter names from the log, so the names and their order must not change.

use notchdoor_proxy::state::metrics::counters::Counters;

const COUNTER_NAMES: &str = "taken rejected served refused failed left sent attempts accepted opened reused registry_updates \
    watches accept_errors ending_served ending_missed ending_absent ending_errored ending_turned_away \
    ending_connect_refused ending_connect_timed_out ending_broken_unsent ending_broken_sent ending_garbled \
    ending_no_room ending_timed_out_sent ending_timed_out_unsent ending_cancelled ending_not_sent ending_client_left \
    ending_client_stalled ending_client_malformed ending_answer_cut ending_client_silent ending_closed_idle \
    ending_registry_broken ending_registry_silent replies_checked replies_unconfirmed \
    values_held values_resumed values_changed rejected_no_room commands_evicted uploads_given_up \
    replies_stalled replies_given_up values_begun_at_deadline";

#[test]
fn counter_names_and_order_are_unchanged() {
    let names: Vec<String> = Counters::new(1).named().into_iter().map(|(name, _)| name).collect();
    assert_eq!(names.join(" "), COUNTER_NAMES);
}
