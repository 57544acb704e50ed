//! Reads and writes the group's frames on a TCP connection.

use super::with_timeout;
use async_channel::Receiver;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use notchdoor_coordination::wire::{encode, Decoder, Frame};
use std::io;
use std::net::TcpStream;
use std::time::Duration;

/// Encoded size at which a batch takes no further frame, and the size of one write.
const MAX_WRITE_BATCH_BYTES: usize = 64 * 1024;
/// The connection ends if one write does not finish within this time.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads frames from one connection.
pub(super) struct Frames<'a> {
    io: &'a Async<TcpStream>,
    decoder: Decoder,
    buffer: Vec<u8>,
}

impl<'a> Frames<'a> {
    /// A reader that rejects frames larger than `max_frame_bytes`.
    pub(super) fn new(io: &'a Async<TcpStream>, max_frame_bytes: usize) -> Frames<'a> {
        Frames { io, decoder: Decoder::with_most(max_frame_bytes), buffer: vec![0; 16 * 1024] }
    }

    /// The next frame with its encoded size in bytes, or `None` once the other side has closed the connection.
    pub(super) async fn next(&mut self) -> io::Result<Option<(Frame, usize)>> {
        loop {
            let before = self.decoder.held();
            let invalid = |e| io::Error::new(io::ErrorKind::InvalidData, format!("{e}"));
            if let Some(frame) = self.decoder.next_frame().map_err(invalid)? {
                return Ok(Some((frame, before - self.decoder.held())));
            }
            let capacity = self.decoder.room().min(self.buffer.len());
            let n = self.io.read(&mut self.buffer[..capacity]).await?;
            if n == 0 {
                return Ok(None);
            }
            self.decoder.feed(&self.buffer[..n]);
        }
    }
}

/// Writes the frames of the channel until it is closed, batching those that are queued. After each batch `on_sent` is
/// called with its frames and its size in bytes.
pub(super) async fn write(
    io: &Async<TcpStream>,
    frames: &Receiver<Frame>,
    mut on_sent: impl FnMut(&[Frame], usize),
) -> io::Result<()> {
    let mut writer = io;
    while let Ok(first) = frames.recv().await {
        let (mut batch, mut bytes) = (vec![first], Vec::new());
        encode(&batch[0], &mut bytes);
        while bytes.len() < MAX_WRITE_BATCH_BYTES {
            let Ok(next) = frames.try_recv() else { break };
            encode(&next, &mut bytes);
            batch.push(next);
        }
        // Each chunk has its own timeout, so that a large snapshot may take longer than a single one.
        for chunk in bytes.chunks(MAX_WRITE_BATCH_BYTES) {
            with_timeout(WRITE_TIMEOUT, writer.write_all(chunk)).await?;
        }
        on_sent(&batch, bytes.len());
    }
    Ok(())
}
