//! [`Payload`].

use serde::{Deserialize, Serialize};

use crate::{Blob, ContentHash, Error, MAX_FILE_LEN, Result};

/// Compression level of zstd.
const COMPRESSION_LEVEL: i32 = 3;

/// Compressed content of a file as sent between nodes. It is compressed either on its own or, as a delta,
/// with a base content that the receiver has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payload {
    /// Hash of the content.
    pub hash: ContentHash,
    /// Hash of the base content; `None` if the content is compressed on its own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<ContentHash>,
    /// Compressed content.
    pub data: Blob,
}

impl Payload {
    /// Compresses a content on its own.
    ///
    /// # Errors
    ///
    /// [`Error::Payload`] when the compression fails.
    pub fn compress(hash: ContentHash, content: &str) -> Result<Self> {
        let data =
            zstd::bulk::compress(content.as_bytes(), COMPRESSION_LEVEL).map_err(payload_error)?;
        Ok(Self {
            hash,
            base: None,
            data: Blob::new(data),
        })
    }

    /// Compresses a content with another one as dictionary.
    ///
    /// # Errors
    ///
    /// [`Error::Payload`] when the compression fails.
    pub fn compress_with_base(
        hash: ContentHash,
        content: &str,
        base_hash: ContentHash,
        base: &str,
    ) -> Result<Self> {
        let compressor =
            zstd::bulk::Compressor::with_dictionary(COMPRESSION_LEVEL, base.as_bytes());
        let data = compressor.and_then(|mut c| c.compress(content.as_bytes()));
        Ok(Self {
            hash,
            base: Some(base_hash),
            data: Blob::new(data.map_err(payload_error)?),
        })
    }

    /// Decompresses the content; `base` is the content with the hash [`Self::base`].
    ///
    /// # Errors
    ///
    /// [`Error::Payload`] when the data is corrupt, longer than [`MAX_FILE_LEN`], not UTF-8 or does not match
    /// the hash.
    pub fn decompress(&self, base: Option<&str>) -> Result<String> {
        let dictionary = base.unwrap_or_default().as_bytes();
        let decompressor = zstd::bulk::Decompressor::with_dictionary(dictionary);
        let bytes = decompressor.and_then(|mut d| d.decompress(self.data.as_slice(), MAX_FILE_LEN));
        let bytes = bytes.map_err(payload_error)?;
        if ContentHash::of_content(&bytes) != self.hash {
            return Err(Error::Payload(
                "the content does not match its hash".to_owned(),
            ));
        }
        String::from_utf8(bytes).map_err(|e| Error::Payload(e.to_string()))
    }
}

fn payload_error(e: std::io::Error) -> Error {
    Error::Payload(e.to_string())
}
