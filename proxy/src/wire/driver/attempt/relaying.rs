//! The large value of a reply: passed on while it is received, kept until it is complete, or continued where an earlier
//! attempt broke off.
//!
//! A value that was begun and broke off ends its client's connection, and with it every command behind it. So it begins only
//! while nothing stands behind it; else it is kept in the [`ValueStore`] first. Commands can also arrive once it is under
//! way: after a break, a further attempt of a class that allows one continues the value, if its own begins with the same
//! bytes.
//!
//! A kept value that is still incomplete when its request's time is nearly over is awaited for as long as an answer may be late,
//! since a break costs nothing until it begins. Then it begins: the time of a large value is that of its first bytes.
//!
//! What was passed on cannot be taken back, so a value that may be a copy of an earlier one on its connection is kept as well,
//! until its whole reply is proven.

use super::held_value::{bytes_to_reserve, HeldValue};
use super::progress::Progress;
use super::{Attempt, BUFFERED_STALL_TIMEOUT, RELAY_STALL_TIMEOUT};
use crate::outcome::AttemptOutcome;
use crate::proxy::{ReplySlot, Stall};
use crate::state::pool::Ticket;
use crate::wire::client_session::RelayedPrefix;
use crate::wire::driver::client::RelayStart;
use crate::wire::driver::value_store::Reservation;
use crate::wire::driver::Runtime;
use async_io::Timer;
use futures_lite::future;
use notchdoor::Micros;
use std::hash::{DefaultHasher, Hasher};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum pause until an attempt that continues a value has gone beyond the earlier one, or the earlier one goes on. The client
/// has waited for [`RELAY_STALL_TIMEOUT`] already if that one fell silent.
const RESUME_STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time before the deadline of its request at which a kept value begins that is not waited for any longer.
const BEGIN_BEFORE_DEADLINE: Micros = 20_000;
/// Time after the deadline for which a kept value is awaited: an answer may be 500 ms late, of which the process may be held up
/// for 150 ms.
const OVERTIME: Duration = Duration::from_millis(350);
/// A kept value of which nothing came for this long begins only if another attempt could continue it: a break would cost the
/// commands behind it their answers.
const PROGRESS_TIME: Duration = Duration::from_millis(500);

/// Whether a value was made for the request, as far as its first bytes tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ValueOrigin {
    /// No earlier value on the connection begins like it.
    Own,
    /// It may be a copy of an earlier value, or begin with a part of one.
    MayBeCopy,
}

/// What happens to the bytes of the value.
enum Stage {
    /// No value has begun.
    NotStarted,
    /// The first bytes are kept until they show the origin of the value.
    Announced { length: usize, data: Vec<Vec<u8>> },
    /// Nobody waits for it; the bytes are discarded.
    Discarding,
    /// The bytes are compared with those that an earlier attempt has passed on.
    Resuming { slot: ReplySlot, prefix: RelayedPrefix, compared: usize, hasher: DefaultHasher },
    /// The bytes are passed on as they come.
    PassingOn(ReplySlot),
    /// The bytes are kept until the value is complete.
    Holding { slot: ReplySlot, length: usize, origin: ValueOrigin, since: Instant, held: HeldValue },
}

/// The large value in the reply to an attempt.
pub(super) struct RelayedValue<'a> {
    runtime: &'a Rc<Runtime>,
    attempt: &'a Attempt,
    progress: &'a Progress,
    stage: Stage,
    /// Its place among the values that are relayed at the same time.
    place: Option<Ticket>,
    /// When the last bytes came.
    last_received: Instant,
    /// Whether a kept value may begin before it is complete.
    may_begin_early: bool,
    /// Until when a kept value is awaited although its request's time is over.
    overtime_ends_at: Option<Instant>,
    /// Whether another attempt may continue the value, since its server has fallen silent.
    is_released: bool,
    /// Bytes of the value that the client had when this attempt last passed some on.
    passed_on: usize,
}

impl<'a> RelayedValue<'a> {
    pub(super) fn new(runtime: &'a Rc<Runtime>, attempt: &'a Attempt, progress: &'a Progress) -> Self {
        RelayedValue {
            runtime,
            attempt,
            progress,
            stage: Stage::NotStarted,
            place: None,
            last_received: Instant::now(),
            may_begin_early: true,
            overtime_ends_at: None,
            is_released: false,
            passed_on: 0,
        }
    }

    /// Records how many bytes of the reply were received.
    pub(super) fn record_received(&self, bytes: usize) {
        self.progress.reply_begun.set(true);
        self.progress.received.set(bytes);
    }

    /// The outcome of an attempt whose reply cannot be used for this reason.
    pub(super) fn unusable(&self, reason: &'static str) -> AttemptOutcome {
        self.progress.end_reason.set(Some(reason));
        AttemptOutcome::Garbled
    }

    /// Whether a value has begun, so that its length is known and its memory accounted for.
    pub(super) fn has_started(&self) -> bool {
        !matches!(self.stage, Stage::NotStarted | Stage::Announced { .. })
    }

    /// Whether the first bytes of a value are awaited.
    pub(super) fn is_announced(&self) -> bool {
        matches!(self.stage, Stage::Announced { .. })
    }

    /// A value of this length follows. It begins with [`RelayedValue::start_if_known`].
    pub(super) fn announce(&mut self, length: usize) {
        self.stage = Stage::Announced { length, data: Vec::new() };
    }

    /// Begins a value that was announced, once its origin is known. `response_time` is the time until the first byte of the
    /// reply. Returns the outcome of the attempt if the value cannot be used.
    pub(super) async fn start_if_known(
        &mut self,
        origin: Option<ValueOrigin>,
        response_time: Option<Micros>,
    ) -> Result<(), AttemptOutcome> {
        let (Stage::Announced { length, data }, Some(origin)) = (&mut self.stage, origin) else {
            return Ok(());
        };
        let (length, data) = (*length, std::mem::take(data));
        self.start(length, origin, response_time).await?;
        data.into_iter().try_for_each(|piece| self.push(piece))
    }

    /// Whether the bytes of a value were not used.
    pub(super) fn is_discarded(&self) -> bool {
        matches!(self.stage, Stage::Discarding)
    }

    /// Whether the value has begun and is kept.
    pub(super) fn is_kept(&self) -> bool {
        matches!(self.stage, Stage::Holding { .. })
    }

    /// Whether the value is kept because it may be a copy.
    pub(super) fn may_be_copy(&self) -> bool {
        matches!(self.stage, Stage::Holding { origin: ValueOrigin::MayBeCopy, .. })
    }

    /// Time until another attempt may be sent beside this one, while the reply is kept and nothing more of it comes. For a value
    /// that may be a copy it does not depend on what comes: a copy has no pauses either.
    pub(super) fn time_until_doubt(&self) -> Duration {
        match self.stage {
            Stage::Holding { origin: ValueOrigin::MayBeCopy, since, .. } => {
                BUFFERED_STALL_TIMEOUT.saturating_sub(since.elapsed())
            }
            _ => BUFFERED_STALL_TIMEOUT,
        }
    }

    /// Maximum pause within a value that is passed on.
    pub(super) fn stall_timeout(&self) -> Duration {
        match self.stage {
            Stage::Resuming { .. } => RESUME_STALL_TIMEOUT,
            _ if self.is_released => RESUME_STALL_TIMEOUT,
            _ => RELAY_STALL_TIMEOUT,
        }
    }

    /// Lets another attempt continue a value whose server has fallen silent, once for each silence. This one goes on if its
    /// server does so first. Returns whether it is awaited further.
    pub(super) fn release(&mut self) -> bool {
        let is_first = matches!(self.stage, Stage::PassingOn(_)) && !self.is_released;
        if is_first {
            self.is_released = true;
            let attempt_id = self.attempt.id;
            log::debug!(attempt_id; "attempt {attempt_id}: its server has fallen silent within a value");
            let stall = Stall { may_be_copy: false, keep_last_attempt: false };
            self.runtime.drive(|proxy, now| {
                proxy.release_stream(now, attempt_id);
                proxy.reply_stalled(now, attempt_id, stall);
            });
        }
        is_first
    }

    async fn start(
        &mut self,
        length: usize,
        origin: ValueOrigin,
        response_time: Option<Micros>,
    ) -> Result<(), AttemptOutcome> {
        let slot = self.runtime.proxy.borrow().streamable_slot(self.attempt.id);
        self.stage = match slot {
            None => Stage::Discarding,
            Some(slot) => match self.runtime.relayed_prefix(slot) {
                Some(_) if origin == ValueOrigin::MayBeCopy => {
                    return Err(self.unusable("a value that may be a copy cannot continue another"));
                }
                Some(prefix) => {
                    // It was admitted when it began.
                    self.place = Some(self.runtime.relay_budget.overdraw());
                    let attempt_id = self.attempt.id;
                    self.progress.deadline_suspended.set(true);
                    self.runtime.drive(|proxy, now| proxy.start_comparing(now, attempt_id, response_time));
                    self.resume(slot, prefix, length)?
                }
                None => {
                    let place = self.runtime.relay_budget.take().ok_or(AttemptOutcome::NoCapacity)?;
                    self.place = Some(place);
                    if !self.runtime.can_relay_one_more() {
                        return Err(AttemptOutcome::NoCapacity);
                    }
                    self.begin(slot, length, origin, response_time).await?
                }
            },
        };
        Ok(())
    }

    /// Makes this the attempt whose reply answers the request. Its time depends on the client and on the replies before this
    /// one from then on. Returns false if the request is answered, or by another attempt.
    fn claim(&self, response_time: Option<Micros>) -> bool {
        let attempt_id = self.attempt.id;
        self.progress.deadline_suspended.set(true);
        let slot = self.runtime.drive(|proxy, now| proxy.start_streaming(now, attempt_id, response_time));
        slot.is_some()
    }

    fn resume(&self, slot: ReplySlot, prefix: RelayedPrefix, length: usize) -> Result<Stage, AttemptOutcome> {
        if prefix.length != length {
            return Err(self.value_changed());
        }
        Ok(Stage::Resuming { slot, prefix, compared: 0, hasher: DefaultHasher::new() })
    }

    async fn begin(
        &self,
        slot: ReplySlot,
        length: usize,
        origin: ValueOrigin,
        response_time: Option<Micros>,
    ) -> Result<Stage, AttemptOutcome> {
        loop {
            match self.runtime.relay_start(slot) {
                RelayStart::ClientGone => return Ok(Stage::Discarding),
                RelayStart::CommandsBehind => return self.hold(slot, length, origin, response_time).await,
                RelayStart::Ready | RelayStart::Waiting(_) if origin == ValueOrigin::MayBeCopy => {
                    return self.hold(slot, length, origin, response_time).await;
                }
                RelayStart::Ready | RelayStart::Waiting(_) if !self.claim(response_time) => {
                    return Ok(Stage::Discarding);
                }
                RelayStart::Ready => {
                    self.runtime.begin_relay(self.attempt.id, slot, length);
                    return Ok(Stage::PassingOn(slot));
                }
                RelayStart::Waiting(changed) => changed.listen().await,
            }
        }
    }

    /// Waits for memory to keep the value in. The attempt has until its deadline for this and to receive the value, and another
    /// one may answer the request meanwhile.
    async fn hold(
        &self,
        slot: ReplySlot,
        length: usize,
        origin: ValueOrigin,
        response_time: Option<Micros>,
    ) -> Result<Stage, AttemptOutcome> {
        let attempt_id = self.attempt.id;
        if self.runtime.clock.now() >= self.attempt.deadlines.answer_by {
            return Err(AttemptOutcome::TimedOutSent);
        }
        self.progress.deadline_suspended.set(false);
        self.runtime.drive(|proxy, now| {
            proxy.release_stream(now, attempt_id);
            proxy.reply_begun(now, attempt_id, response_time);
        });
        let bytes = bytes_to_reserve(length);
        if !self.runtime.value_store.can_hold(bytes) {
            return Err(AttemptOutcome::NoCapacity);
        }
        let mut reservation = Reservation::new(&self.runtime.value_store);
        let must_begin = async {
            match origin {
                ValueOrigin::Own => drop(Timer::after(self.time_until_deadline()).await),
                ValueOrigin::MayBeCopy => future::pending().await,
            }
        };
        future::or(reservation.wait_for(bytes), must_begin).await;
        self.runtime.proxy.borrow_mut().counters.values_held += 1;
        let held = HeldValue::new(length, reservation);
        Ok(Stage::Holding { slot, length, origin, since: Instant::now(), held })
    }

    /// Time until a kept value has to begin.
    fn time_until_deadline(&self) -> Duration {
        let begin_at = self.attempt.deadlines.answer_by.saturating_sub(BEGIN_BEFORE_DEADLINE);
        Duration::from_micros(begin_at.saturating_sub(self.runtime.clock.now()))
    }

    /// Time until a value that is kept for the commands behind it begins incomplete; `None` if it does not.
    pub(super) fn time_until_early_begin(&self) -> Option<Duration> {
        let is_sound = self.is_kept() && !self.may_be_copy();
        (is_sound && self.may_begin_early).then(|| match self.overtime_ends_at {
            Some(ends_at) => ends_at.saturating_duration_since(Instant::now()),
            None => self.time_until_deadline(),
        })
    }

    /// Begins a kept value before it is complete, or awaits it for some time beyond its request's. Returns the outcome of the
    /// attempt if nothing comes of it and no other attempt could continue it.
    pub(super) async fn begin_early(&mut self) -> Result<(), AttemptOutcome> {
        if self.begin_overtime() {
            return Ok(());
        }
        let attempt_id = self.attempt.id;
        let may_be_continued = self.runtime.proxy.borrow().may_be_continued(attempt_id);
        if !may_be_continued && self.last_received.elapsed() >= PROGRESS_TIME {
            self.may_begin_early = false;
            return match self.overtime_ends_at {
                Some(_) => Err(AttemptOutcome::TimedOutSent),
                None => Ok(()),
            };
        }
        self.stage = match self.pass_on_parts().await {
            Some(slot) => Stage::PassingOn(slot),
            None => Stage::Discarding,
        };
        self.runtime.proxy.borrow_mut().counters.values_begun_at_deadline += 1;
        log::debug!(attempt_id; "attempt {attempt_id}: its value is incomplete and begins, since its time is over");
        Ok(())
    }

    /// Awaits a kept value for some time beyond its request's, once, unless its memory is not accounted for or the process is
    /// about to end. Another attempt may answer the request meanwhile.
    fn begin_overtime(&mut self) -> bool {
        let Stage::Holding { held, .. } = &self.stage else { return false };
        if self.overtime_ends_at.is_some() || !held.is_reserved() || self.runtime.stopping.get() {
            return false;
        }
        let attempt_id = self.attempt.id;
        self.progress.deadline_suspended.set(true);
        let slot = self.runtime.drive(|proxy, now| proxy.start_comparing(now, attempt_id, None));
        self.overtime_ends_at = slot.map(|_| Instant::now() + self.time_until_deadline() + OVERTIME);
        slot.is_some()
    }

    /// Takes a released value up again, unless another attempt has gone on with it.
    fn take_up_again(&mut self) {
        let Stage::PassingOn(slot) = self.stage else { return };
        if !std::mem::take(&mut self.is_released) {
            return;
        }
        let prefix = self.runtime.relayed_prefix(slot);
        let is_unchanged = prefix.is_some_and(|prefix| prefix.bytes == self.passed_on);
        if !is_unchanged || !self.claim(None) {
            self.stage = Stage::Discarding;
        }
    }

    /// Takes the next bytes of the value. Returns the outcome of the attempt if they show that it cannot be used.
    pub(super) fn push(&mut self, data: Vec<u8>) -> Result<(), AttemptOutcome> {
        self.last_received = Instant::now();
        self.take_up_again();
        match &mut self.stage {
            Stage::NotStarted | Stage::Discarding => {}
            Stage::Announced { data: first, .. } => first.push(data),
            Stage::PassingOn(slot) => {
                self.passed_on += data.len();
                self.runtime.relay(*slot, &data);
            }
            Stage::Holding { held, .. } => held.push(data),
            Stage::Resuming { .. } => return self.compare(&data),
        }
        Ok(())
    }

    /// Compares the next bytes of the value with what an earlier attempt has passed on, and continues it behind that. The earlier
    /// attempt may go on meanwhile.
    fn compare(&mut self, data: &[u8]) -> Result<(), AttemptOutcome> {
        let Stage::Resuming { slot, prefix, compared, hasher } = &mut self.stage else { return Ok(()) };
        let (slot, mut data) = (*slot, data);
        loop {
            let missing = prefix.bytes.saturating_sub(*compared);
            let (known, new) = data.split_at(missing.min(data.len()));
            hasher.write(known);
            *compared += known.len();
            if *compared < prefix.bytes {
                return Ok(());
            }
            if hasher.finish() != prefix.digest {
                return Err(self.value_changed());
            }
            let Some(current) = self.runtime.relayed_prefix(slot) else {
                self.stage = Stage::Discarding;
                return Ok(());
            };
            data = new;
            if current.bytes == prefix.bytes {
                break;
            }
            *prefix = current;
        }
        let prefix_bytes = prefix.bytes;
        if data.is_empty() && prefix_bytes < prefix.length {
            // Nothing was added yet to what the earlier attempt gave.
            return Ok(());
        }
        if !self.claim(None) {
            self.stage = Stage::Discarding;
            return Ok(());
        }
        self.runtime.proxy.borrow_mut().counters.values_resumed += 1;
        self.passed_on = prefix_bytes + data.len();
        self.runtime.relay(slot, data);
        self.stage = Stage::PassingOn(slot);
        Ok(())
    }

    /// Waits until more of the value can be taken.
    pub(super) async fn ready(&mut self) {
        if !self.has_started() {
            return;
        }
        // Yields even if neither socket ever blocks, so that a value does not starve other tasks.
        future::yield_now().await;
        if let Stage::PassingOn(slot) = self.stage {
            if !self.runtime.relay_ready(slot).await {
                // The rest is read without waiting.
                self.stage = Stage::Discarding;
            }
        }
    }

    /// Completes the value after its reply was received completely and proven: passes on what was kept of it, and takes it up
    /// again if its server had fallen silent before the end of the reply.
    pub(super) async fn complete(&mut self) {
        if self.is_kept() {
            self.pass_on_parts().await;
        }
        self.take_up_again();
    }

    /// Passes on what is kept of a value. Returns the place of the reply, or `None` if nobody waits for it.
    async fn pass_on_parts(&mut self) -> Option<ReplySlot> {
        if !self.claim(None) {
            return None;
        }
        let Stage::Holding { slot, length, held, .. } = &mut self.stage else { return None };
        let slot = *slot;
        if !self.runtime.relay_ready(slot).await {
            return None;
        }
        self.runtime.begin_relay(self.attempt.id, slot, *length);
        while let Some(part) = held.take_part() {
            self.passed_on += part.len();
            self.runtime.relay(slot, &part);
            future::yield_now().await;
            if !self.runtime.relay_ready(slot).await {
                return None;
            }
        }
        Some(slot)
    }

    /// The outcome of an attempt whose value differs from what an earlier one has passed on.
    fn value_changed(&self) -> AttemptOutcome {
        self.runtime.proxy.borrow_mut().counters.values_changed += 1;
        self.unusable("its value differs from the part that the client has")
    }
}

impl Runtime {
    fn begin_relay(&self, attempt_id: u64, slot: ReplySlot, length: usize) {
        self.proxy.borrow_mut().value_begun(attempt_id);
        self.with_session(slot, |session| session.replies_mut().begin_relay(length));
    }

    fn relay(&self, slot: ReplySlot, data: &[u8]) {
        self.with_session(slot, |session| session.replies_mut().relay(data));
    }
}
