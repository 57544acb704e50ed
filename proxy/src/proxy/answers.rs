//! Final answers of requests.

use super::in_flight::{Attempt, RequestEnd};
use super::{Answer, Command, Proxy};
use notchdoor::RequestId;

impl<C> Proxy<C> {
    pub(super) fn finish(&mut self, id: RequestId, answer: Answer) {
        self.answer(id, answer);
        self.remove_if_done(id);
    }

    /// Sends the final answer of a request unless it has one already, and counts it by class.
    pub(super) fn answer(&mut self, id: RequestId, answer: Answer) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        if !request.finish(RequestEnd::Answered) {
            return;
        }
        // An answer of another form cannot follow the first bytes of a value.
        let answer = match answer {
            Answer::Streamed => Answer::Streamed,
            _ if request.value_begun => Answer::Truncated,
            // A rejection invites a retry, which the server's process may not know for one.
            Answer::Rejected { .. } if request.has_lost_process() => Answer::Failed,
            answer => answer,
        };
        let (attempts, last) = (request.attempts.len(), request.attempts.last());
        let last = last.map_or("none", Attempt::outcome_name);
        log::debug!(
            attempts, last, answer = answer.name();
            "request {}: answered {} after {attempts} attempts, the last one: {last}",
            request.name(), answer.name()
        );
        let reply_slot = request.reply_slot;
        let class = request.class;
        if !matches!(answer, Answer::Served(_) | Answer::Streamed | Answer::Absent) {
            self.report_given_up(id, answer.name());
        }
        self.reply_slots.remove(&reply_slot);
        if let Some(class) = self.counters.classes.get_mut(class as usize) {
            match answer {
                Answer::Served(_) | Answer::Streamed => class.served += 1,
                Answer::Rejected { .. } => class.refused += 1,
                Answer::Failed | Answer::Absent | Answer::Truncated => class.failed += 1,
            }
        }
        self.commands.push(Command::Answer(reply_slot, answer));
    }

    /// Counts and logs a request that is not served although a server had begun its reply.
    fn report_given_up(&mut self, id: RequestId, answer: &'static str) {
        let Some(request) = self.in_flight.get(&id) else { return };
        let given_up = request.attempts.iter().find(|attempt| attempt.reply_is_given_up());
        let Some(&Attempt { server, .. }) = given_up else { return };
        self.counters.replies_given_up += 1;
        let times = self.counters.replies_given_up;
        // Logged at every power of two to limit the log volume under load.
        if times.is_power_of_two() {
            log::warn!(
                server, answer, times;
                "request {}: answered {answer} although {server} had begun its reply ({times} such requests so far)",
                request.name()
            );
        }
    }
}
