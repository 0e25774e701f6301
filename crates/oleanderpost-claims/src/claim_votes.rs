//! [`ClaimVotes`].

use crate::{ClaimMessage, Refusal, Result};

/// Answers of the witnesses to one claim.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClaimVotes {
    asked: usize,
    answered: usize,
    granted: usize,
    abstained: usize,
    taken: usize,
    needed: usize,
}

impl ClaimVotes {
    pub(crate) const fn new(asked: usize) -> Self {
        Self {
            asked,
            answered: 0,
            granted: 0,
            abstained: 0,
            taken: 0,
            needed: asked / 2 + 1,
        }
    }

    /// Counts one answer.
    pub(crate) fn add(&mut self, answer: Result<ClaimMessage>) {
        self.answered += 1;
        match answer {
            Ok(ClaimMessage::Granted { witnesses }) => {
                let size = usize::try_from(witnesses).unwrap_or(usize::MAX);
                self.needed = self.needed.max(size / 2 + 1);
                self.granted += 1;
            }
            Ok(ClaimMessage::Taken) => self.taken += 1,
            Ok(ClaimMessage::Abstained(_)) => self.abstained += 1,
            Ok(_) | Err(_) => {}
        }
    }

    /// Whether further answers can't change the result.
    pub(crate) const fn is_decided(&self) -> bool {
        let outstanding = self.asked - self.answered;
        self.granted >= self.needed || self.granted + outstanding < self.needed
    }

    /// Whether the claim is granted by a majority, as far as answers have arrived.
    pub(crate) const fn result(&self) -> Result<(), Refusal> {
        if self.granted >= self.needed {
            return Ok(());
        }
        if self.taken > 0 {
            return Err(Refusal::AlreadyClaimed);
        }
        Err(Refusal::NoMajority {
            asked: self.asked,
            granted: self.granted,
            abstained: self.abstained,
            unanswered: self.asked - self.granted - self.abstained,
        })
    }
}
