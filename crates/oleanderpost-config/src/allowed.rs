//! Limits of the fields in fleet files, and the texts that describe them in findings.

/// Maximum size of a fleet file, in bytes.
pub const MAX_FILE_LEN: usize = 1 << 20;
/// Maximum number of findings listed for one file.
pub const MAX_FINDINGS: usize = 1_000;
/// Newest format of fleet files that this version of the program supports.
pub const FORMAT: u64 = 1;
/// Maximum time limit of a request, in milliseconds: one day.
pub(crate) const MAX_TIME_LIMIT_MS: u64 = 86_400_000;
/// Maximum prompt length of a class, in tokens.
pub(crate) const MAX_PROMPT_TOKENS: u64 = 100_000_000;
/// Maximum weight of an account's fair share.
pub(crate) const MAX_SHARE: u64 = 1_000_000;

pub(crate) const NAME: &str = "a name: 1 to 64 characters of a-z, 0-9, '.', '_', '-'";
pub(crate) const ADDRESS: &str = "an IP address and a port, such as 10.0.0.1:8000";
pub(crate) const TOKEN_HASH: &str = "64 hexadecimal digits, the SHA-256 of the bearer token";
pub(crate) const PATH: &str = "the start of a path: '/' and no white space";
pub(crate) const METHODS: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];
