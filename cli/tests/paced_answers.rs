//! Sound servers that pause within their answers, or give them slowly: each answer that is whole in time is served, whatever time
//! limit of the program the pause crosses.

mod common;
use common::paced_reads::{assert_all_served, From, Row};
use common::paced_server::{Framing, Giving, Pause};
use std::time::Duration;

const LARGE_BYTES: usize = 200_000;

const fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

const fn large(pauses: &'static [Pause]) -> Giving {
    Giving { pauses, ..Giving::at_once(LARGE_BYTES) }
}

const BEHIND_HEAD_SHORT: &[Pause] = &[Pause { before: 0, time: ms(130) }];
const BEHIND_HEAD: &[Pause] = &[Pause { before: 0, time: ms(900) }];
const BEHIND_HEAD_LONG: &[Pause] = &[Pause { before: 0, time: ms(1800) }];
const AFTER_ONE_BYTE: &[Pause] = &[Pause { before: 1, time: ms(900) }];
const WITHIN_COMPARED_BYTES: &[Pause] = &[Pause { before: 255, time: ms(900) }];
const BEHIND_COMPARED_BYTES: &[Pause] = &[Pause { before: 300, time: ms(900) }];
const IN_THE_MIDDLE: &[Pause] = &[Pause { before: LARGE_BYTES / 2, time: ms(900) }];
const IN_THE_MIDDLE_OVER_DEADLINE: &[Pause] = &[Pause { before: LARGE_BYTES / 2, time: ms(2400) }];
const AFTER_A_QUARTER: &[Pause] = &[Pause { before: 50_000, time: ms(900) }];
const BEFORE_LAST_BYTE: &[Pause] = &[Pause { before: LARGE_BYTES - 1, time: ms(900) }];
/// Seven pauses over the whole value.
const ALL_ALONG: &[Pause] = &[
    Pause { before: 25_000, time: ms(150) },
    Pause { before: 50_000, time: ms(150) },
    Pause { before: 75_000, time: ms(150) },
    Pause { before: 100_000, time: ms(150) },
    Pause { before: 125_000, time: ms(150) },
    Pause { before: 150_000, time: ms(150) },
    Pause { before: 175_000, time: ms(150) },
];
const SHORT_40: &[Pause] = &[Pause { before: 20_000, time: ms(500) }];
const SHORT_1: &[Pause] = &[Pause { before: 500, time: ms(300) }];

/// Guards against a large value that is cut off because its server pauses before the bytes that tell it from a copy (issue 71).
#[test]
fn large_value_of_a_cache_is_served_after_a_pause_near_its_head() {
    assert_all_served(&[
        Row::of(From::Caches, large(BEHIND_HEAD_SHORT)),
        Row::of(From::Caches, large(BEHIND_HEAD)),
        Row::of(From::Caches, large(BEHIND_HEAD_LONG)),
        Row::of(From::Caches, large(AFTER_ONE_BYTE)),
        Row::of(From::Caches, large(WITHIN_COMPARED_BYTES)),
    ]);
}

/// The same for values of the origin.
#[test]
fn large_value_of_the_origin_is_served_after_a_pause_near_its_head() {
    let alone = Row { clients: 1, ..Row::of(From::Origin, large(BEHIND_HEAD)) };
    assert_all_served(&[
        alone,
        Row::of(From::Origin, large(BEHIND_HEAD)),
        Row::of(From::Origin, large(WITHIN_COMPARED_BYTES)),
    ]);
}

/// Guards against a large value that is cut off because its server pauses once it is under way.
#[test]
fn large_value_is_served_after_a_pause_in_the_middle_or_at_its_end() {
    assert_all_served(&[
        Row::of(From::Caches, large(BEHIND_COMPARED_BYTES)),
        Row::of(From::Caches, large(BEFORE_LAST_BYTE)),
        Row::of(From::Caches, large(IN_THE_MIDDLE_OVER_DEADLINE)),
        Row::of(From::Origin, large(BEHIND_COMPARED_BYTES)),
        Row::of(From::Origin, large(IN_THE_MIDDLE)),
        Row::of(From::Origin, large(BEFORE_LAST_BYTE)),
    ]);
}

/// Guards against a value that is cut off by a pause because it may be a copy of an earlier one on its connection.
#[test]
fn large_value_that_equals_an_earlier_one_is_served_after_pauses() {
    assert_all_served(&[
        Row::of(From::Caches, large(IN_THE_MIDDLE)).with_equal_before(),
        Row::of(From::Caches, large(ALL_ALONG)).with_equal_before(),
        Row::of(From::Origin, large(IN_THE_MIDDLE)).with_equal_before(),
        Row::of(From::Origin, large(ALL_ALONG)).with_equal_before(),
    ]);
}

/// Guards against a value that is refused at the time of its first bytes because it is kept for the commands behind it.
#[test]
fn large_value_of_a_cache_with_a_command_behind_it_is_served_after_pauses() {
    assert_all_served(&[
        Row::of(From::Caches, large(IN_THE_MIDDLE)).with_commands_behind(),
        Row::of(From::Caches, large(IN_THE_MIDDLE_OVER_DEADLINE)).with_commands_behind(),
        Row::of(From::Caches, SLOWLY).with_commands_behind(),
    ]);
}

/// 600,000 bytes, 36,000 each 200 ms: 180 KB/s.
const SLOWLY: Giving = Giving { pauses: &SLOW_PAUSES, ..Giving::at_once(600_000) };
const SLOW_PAUSES: [Pause; 16] = {
    let mut pauses = [Pause { before: 0, time: ms(200) }; 16];
    let mut n = 0;
    while n < pauses.len() {
        pauses[n].before = 36_000 * (n + 1);
        n += 1;
    }
    pauses
};

/// Guards against a value of the origin that is refused after part of its client's time because it is kept.
#[test]
fn large_value_of_the_origin_with_a_command_behind_it_is_served_after_a_pause() {
    assert_all_served(&[Row::of(From::Origin, large(AFTER_A_QUARTER)).with_commands_behind()]);
}

/// Guards against a value without a length in its head that is cut off by a pause.
#[test]
fn value_in_chunks_or_without_a_length_is_served_after_pauses() {
    const SHORT_PAUSE: &[Pause] = &[Pause { before: LARGE_BYTES / 2, time: ms(150) }];
    assert_all_served(&[
        Row::of(From::Origin, large(IN_THE_MIDDLE)).in_framing(Framing::Chunks),
        Row::of(From::Origin, large(SHORT_PAUSE)).in_framing(Framing::Chunks),
        Row::of(From::Origin, large(IN_THE_MIDDLE)).in_framing(Framing::UntilClose),
    ]);
}

/// Guards against a short value that is cut off by a pause.
#[test]
fn short_value_is_served_after_a_pause() {
    let (short_40, short_1) = (
        Giving { pauses: SHORT_40, ..Giving::at_once(40_000) },
        Giving { pauses: SHORT_1, ..Giving::at_once(1_000) },
    );
    assert_all_served(&[
        Row::of(From::Caches, short_40),
        Row::of(From::Caches, short_1),
        Row::of(From::Caches, short_1).with_equal_before(),
        Row::of(From::Origin, short_40),
        Row::of(From::Origin, short_1),
    ]);
}

/// A value of a class that allows no further attempt, of which nothing comes near its deadline, with a command behind it.
#[test]
fn large_value_that_no_other_attempt_could_continue_is_begun_before_others() {
    let row = Row::of(From::Caches, large(IN_THE_MIDDLE_OVER_DEADLINE)).with_commands_behind();
    assert_all_served(&[Row { class: "close", clients: 2, ..row }]);
}
