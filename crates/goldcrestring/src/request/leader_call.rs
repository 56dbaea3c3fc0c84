//! What may be reported about a call that is forwarded to the leader in several attempts.
//!
//! An attempt that was sent and not answered leaves the outcome open: its command may be committed
//! at any later time. A refusal of a later attempt says nothing about it, so a change may be
//! reported as refused only while no attempt is open. An entry does not know of attempts made by
//! earlier calls with the same ID either, so only a leader can refuse a change.

#[cfg(test)]
mod tests;

use derive_more::{Display, Error};

/// What executing a call does.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum CallEffect {
    /// It changes replicated state.
    #[display("change")]
    Change,
    /// It changes nothing, so nothing can happen after a refusal.
    #[display("read")]
    Read,
}

/// What a leader's answer says about the attempt that it answers.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Verdict {
    /// The answer holds whatever happens to earlier attempts, for example since the change is
    /// stored.
    #[display("conclusive")]
    Conclusive,
    /// This attempt was not executed and never will be.
    #[display("refused")]
    Refused,
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum Unanswered {
    /// Nothing was executed.
    #[display("the call was not executed")]
    NotRun,
    /// The call may have been executed or may still be.
    #[display("the outcome of the call is unknown")]
    Unknown,
}

/// The result of ending a call.
pub type Result<T> = std::result::Result<T, Unanswered>;

/// An answer that is true for all attempts of a call. Only [`LeaderCall::answer`] creates it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FinalAnswer<T>(T);

impl<T> FinalAnswer<T> {
    /// Returns the answer.
    pub fn into_inner(self) -> T {
        self.0
    }
}

/// The attempts of one call so far.
///
/// # Examples
///
/// ```
/// use goldcrestring::request::leader_call::{CallEffect, Unanswered, LeaderCall, Verdict};
///
/// let mut call = LeaderCall::new(CallEffect::Change);
/// call.record_lost();
/// assert_eq!(call.answer("too few replicas", Verdict::Refused), Err(Unanswered::Unknown));
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
#[must_use]
pub struct LeaderCall {
    effect: CallEffect,
    attempts: usize,
    is_open: bool,
}

impl LeaderCall {
    /// Starts a call.
    pub const fn new(effect: CallEffect) -> Self {
        Self { effect, attempts: 0, is_open: false }
    }

    /// The number of finished attempts.
    pub const fn attempts(&self) -> usize {
        self.attempts
    }

    /// Whether an attempt may still be executed.
    pub const fn is_open(&self) -> bool {
        self.is_open
    }

    /// Records an attempt that no process received, or that its receiver did not execute because it
    /// is not the leader.
    pub const fn record_not_received(&mut self) {
        self.attempts += 1;
    }

    /// Records an attempt that may have been received and got no valid answer.
    pub const fn record_lost(&mut self) {
        self.attempts += 1;
        self.is_open = true;
    }

    /// Ends the call with a leader's answer to the latest attempt.
    ///
    /// # Errors
    ///
    /// [`Unanswered::Unknown`] if the answer is a refusal of a change and an earlier attempt may
    /// still be executed.
    pub fn answer<T>(self, answer: T, verdict: Verdict) -> Result<FinalAnswer<T>> {
        match (self.effect, verdict) {
            (CallEffect::Change, Verdict::Refused) if self.is_open => Err(Unanswered::Unknown),
            _ => Ok(FinalAnswer(answer)),
        }
    }

    /// Ends the call without an answer and returns what may be reported.
    #[must_use]
    pub const fn give_up(self) -> Unanswered {
        match self.effect {
            CallEffect::Read if !self.is_open => Unanswered::NotRun,
            CallEffect::Change | CallEffect::Read => Unanswered::Unknown,
        }
    }
}
