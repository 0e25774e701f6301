//! [`AnswerCheck`].

use oleanderpost::types::{RequestKey, StreamEvent};
use oleanderpost_standin::GeneratedText;

/// Checks that an answer is complete: contiguous tokens that all come from one attempt at the caller's
/// own request.
#[derive(Debug)]
pub(crate) struct AnswerCheck {
    key: RequestKey,
    requested: u64,
    generated: Option<GeneratedText>,
    next_offset: u64,
}

impl AnswerCheck {
    /// Creates a check for the answer to the request `key`, which asked for `requested` tokens.
    pub(crate) fn new(key: RequestKey, requested: u64) -> Self {
        Self {
            key,
            requested,
            generated: None,
            next_offset: 0,
        }
    }

    /// Number of tokens received so far.
    pub(crate) fn received_tokens(&self) -> u64 {
        self.next_offset
    }

    /// Checks the next event of the stream.
    ///
    /// # Errors
    ///
    /// A text that describes the first error found in the event.
    pub(crate) fn check(&mut self, event: &StreamEvent) -> Result<(), String> {
        match event {
            StreamEvent::Token {
                offset,
                count,
                text,
            } => self.check_tokens(*offset, *count, text),
            StreamEvent::End { tokens, .. }
                if *tokens == self.next_offset && self.next_offset == self.requested =>
            {
                Ok(())
            }
            StreamEvent::End { tokens, .. } => Err(format!(
                "the end counts {tokens} tokens, {} came, {} were asked for",
                self.next_offset, self.requested
            )),
            StreamEvent::Error(_) => Ok(()),
        }
    }

    fn check_tokens(&mut self, offset: u64, count: u64, text: &str) -> Result<(), String> {
        if offset != self.next_offset {
            return Err(format!(
                "token {offset} came where {} was due",
                self.next_offset
            ));
        }
        let generated = match self.generated {
            Some(generated) => generated,
            None => GeneratedText::parse(self.key, text).ok_or("the text is of another request")?,
        };
        self.generated = Some(generated);
        if text != generated.text(offset, offset + count) {
            return Err(format!("the text of token {offset} is of another attempt"));
        }
        self.next_offset += count;
        Ok(())
    }
}
