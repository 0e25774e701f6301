//! [`Submission`].

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use oleanderpost_types::{
    Attempt, BYTES_PER_TOKEN, CompletionRequest, ModelName, Priority, Prompt, RequestKey, Tokens,
    VmId,
};

/// A request in the form that an engine accepts.
#[derive(Clone, Debug)]
pub struct Submission {
    pub(crate) key: RequestKey,
    pub(crate) attempt: Attempt,
    pub(crate) model: Option<ModelName>,
    pub(crate) prompt: Tokens,
    pub(crate) max_tokens: u64,
    pub(crate) priority: Priority,
    pub(crate) holder: Option<VmId>,
    pub(crate) reservation: Option<RequestKey>,
    pub(crate) group_size: u64,
    pub(crate) time_limit: Option<Duration>,
    pub(crate) prefix: Vec<u64>,
}

impl Submission {
    /// Creates a request from its sizes alone. It shares no prefix with other requests.
    #[must_use]
    pub fn new(key: RequestKey, prompt: Tokens, max_tokens: u64) -> Self {
        Self {
            key,
            attempt: Attempt::default(),
            model: None,
            prompt,
            max_tokens,
            priority: Priority::default(),
            holder: None,
            reservation: None,
            group_size: 1,
            time_limit: None,
            prefix: Vec::new(),
        }
    }

    /// Creates a request with its prompt. Prefixes of the prompt can be cached in blocks of `block` tokens.
    #[must_use]
    pub fn with_request(key: RequestKey, request: &CompletionRequest, block: Tokens) -> Self {
        let mut submission = Self::new(key, request.prompt.len(), u64::from(request.max_tokens));
        submission.model = request.model.parse().ok();
        submission.prefix = prefix_hashes(&request.prompt, block.get().max(1));
        submission
    }

    /// Sets the attempt.
    #[must_use]
    pub fn with_attempt(mut self, attempt: Attempt) -> Self {
        self.attempt = attempt;
        self
    }

    /// Sets the priority.
    #[must_use]
    pub fn with_priority(mut self, priority: Priority) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the VM that holds the stream, as shown in holdings and evidence.
    #[must_use]
    pub fn with_holder(mut self, holder: VmId) -> Self {
        self.holder = Some(holder);
        self
    }

    /// Uses the memory of a reservation.
    #[must_use]
    pub fn with_reservation(mut self, reservation: RequestKey) -> Self {
        self.reservation = Some(reservation);
        self
    }

    /// Divides prefill and memory among a group of `size` engines.
    #[must_use]
    pub fn with_group_size(mut self, size: u64) -> Self {
        self.group_size = size.max(1);
        self
    }

    /// Sets the time after which the stream is ended.
    #[must_use]
    pub fn with_time_limit(mut self, limit: Duration) -> Self {
        self.time_limit = Some(limit);
        self
    }

    /// Sets the hashes of the prompt's blocks. Each hash covers the block and all blocks before it.
    #[must_use]
    pub fn with_prefix(mut self, prefix: Vec<u64>) -> Self {
        self.prefix = prefix;
        self
    }
}

/// Hashes each complete block of a prompt together with all blocks before it.
fn prefix_hashes(prompt: &Prompt, block: u64) -> Vec<u64> {
    let mut hashes = Vec::new();
    let mut previous = 0;
    let mut push = |bytes: &[u8]| {
        previous = xxh3_64_with_seed(bytes, previous);
        hashes.push(previous);
    };
    match prompt {
        Prompt::Text(text) => {
            let size = (block * BYTES_PER_TOKEN) as usize;
            text.as_bytes().chunks_exact(size).for_each(&mut push);
        }
        Prompt::Tokens(tokens) => {
            for chunk in tokens.chunks_exact(block as usize) {
                let bytes: Vec<u8> = chunk.iter().flat_map(|t| t.to_le_bytes()).collect();
                push(&bytes);
            }
        }
    }
    hashes
}
