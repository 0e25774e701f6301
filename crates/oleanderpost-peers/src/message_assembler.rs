//! [`MessageAssembler`]: assembles a large message from its chunks.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The chunks received of one large message. The message size is limited, and so are the bytes that all
/// connections hold together.
#[derive(Debug, Default)]
pub(crate) struct MessageAssembler {
    buf: BytesMut,
    size: usize,
    permit: Option<OwnedSemaphorePermit>,
    /// Whether chunks were discarded because the byte limit of all connections was reached.
    incomplete: bool,
}

/// The message exceeds the size limit.
#[derive(Debug)]
pub(crate) struct TooLarge;

impl MessageAssembler {
    /// Appends the next chunk.
    pub(crate) fn push(
        &mut self,
        chunk: &[u8],
        max_bytes: usize,
        byte_budget: &Arc<Semaphore>,
    ) -> Result<(), TooLarge> {
        self.size += chunk.len();
        if self.size > max_bytes {
            return Err(TooLarge);
        }
        let permits = u32::try_from(chunk.len()).map_err(|_| TooLarge)?;
        match Arc::clone(byte_budget).try_acquire_many_owned(permits) {
            Ok(permit) if !self.incomplete => self.append(chunk, permit),
            _ => self.discard(),
        }
        Ok(())
    }

    fn append(&mut self, chunk: &[u8], permit: OwnedSemaphorePermit) {
        self.buf.extend_from_slice(chunk);
        match &mut self.permit {
            Some(reserved) => reserved.merge(permit),
            None => self.permit = Some(permit),
        }
    }

    fn discard(&mut self) {
        self.incomplete = true;
        self.buf = BytesMut::new();
        self.permit = None;
    }

    /// The whole message and its byte reservation; `None` when chunks were discarded.
    pub(crate) fn finish(&mut self) -> Option<(Bytes, Option<OwnedSemaphorePermit>)> {
        let message = std::mem::take(self);
        (!message.incomplete).then(|| (message.buf.freeze(), message.permit))
    }
}
