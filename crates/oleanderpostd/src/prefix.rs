//! Fingerprints of a prompt's prefixes, used to find engines that have them in their cache.

use oleanderpost::{
    admission::Fingerprint,
    types::{BYTES_PER_TOKEN, Prompt, Tokens},
};
use xxhash_rust::xxh3::Xxh3;

/// Tokens covered by the shortest fingerprint; each next fingerprint covers twice as many.
const SHORTEST_PREFIX_TOKENS: u64 = 512;

/// Maximum number of fingerprints per prompt.
const MAX_FINGERPRINTS: usize = 12;

/// Fingerprints of the prompt's prefixes, shortest first.
pub(crate) fn fingerprints(prompt: &Prompt) -> Vec<Fingerprint> {
    let total = prompt.len().get();
    let mut hasher = Xxh3::new();
    let mut hashed_tokens = 0;
    let mut fingerprints = Vec::new();
    let mut tokens = SHORTEST_PREFIX_TOKENS;
    while tokens <= total && fingerprints.len() < MAX_FINGERPRINTS {
        update_hash(&mut hasher, prompt, hashed_tokens, tokens);
        fingerprints.push(Fingerprint {
            hash: hasher.digest(),
            tokens: Tokens::new(tokens),
        });
        hashed_tokens = tokens;
        tokens *= 2;
    }
    fingerprints
}

fn update_hash(hasher: &mut Xxh3, prompt: &Prompt, from: u64, to: u64) {
    match prompt {
        Prompt::Text(text) => {
            let bytes = text.as_bytes();
            let end = bytes.len().min((to * BYTES_PER_TOKEN) as usize);
            hasher.update(&bytes[(from * BYTES_PER_TOKEN) as usize..end]);
        }
        Prompt::Tokens(tokens) => {
            for token in &tokens[from as usize..to as usize] {
                hasher.update(&token.to_le_bytes());
            }
        }
    }
}
