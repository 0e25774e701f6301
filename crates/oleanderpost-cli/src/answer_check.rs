//! [`AnswerCheck`].

use oleanderpost::types::{RequestKey, StreamEvent};
use oleanderpost_standin::GeneratedText;

/// Checks that an answer is whole: contiguous tokens of one attempt at the caller's own request.
#[derive(Debug)]
pub(crate) struct AnswerCheck {
    key: RequestKey,
    wanted: u64,
    sample: Option<GeneratedText>,
    next: u64,
}

impl AnswerCheck {
    /// Checks the answer to the request `key` that asked for `wanted` tokens.
    pub(crate) fn new(key: RequestKey, wanted: u64) -> Self {
        Self {
            key,
            wanted,
            sample: None,
            next: 0,
        }
    }

    /// Tokens seen so far.
    pub(crate) fn tokens(&self) -> u64 {
        self.next
    }

    /// Checks one event.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    pub(crate) fn check(&mut self, event: &StreamEvent) -> Result<(), String> {
        match event {
            StreamEvent::Token {
                offset,
                count,
                text,
            } => self.check_tokens(*offset, *count, text),
            StreamEvent::End { tokens, .. } if *tokens == self.next && self.next == self.wanted => {
                Ok(())
            }
            StreamEvent::End { tokens, .. } => Err(format!(
                "the end counts {tokens} tokens, {} came, {} were asked for",
                self.next, self.wanted
            )),
            StreamEvent::Error(_) => Ok(()),
        }
    }

    fn check_tokens(&mut self, offset: u64, count: u64, text: &str) -> Result<(), String> {
        if offset != self.next {
            return Err(format!("token {offset} came where {} was due", self.next));
        }
        let sample = match self.sample {
            Some(sample) => sample,
            None => GeneratedText::parse(self.key, text).ok_or("the text is of another request")?,
        };
        self.sample = Some(sample);
        if text != sample.text(offset, offset + count) {
            return Err(format!("the text of token {offset} is of another attempt"));
        }
        self.next += count;
        Ok(())
    }
}
