//! Frames on a socket.

use super::with_timeout;
use async_channel::Receiver;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use notchdoor_coordination::wire::{encode, Decoder, Frame};
use std::io;
use std::net::TcpStream;
use std::time::Duration;

/// Bytes of frames that are written at once.
const MAX_WRITE_BATCH_BYTES: usize = 64 * 1024;
/// A peer that takes nothing for so long is cut off.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads frames from one connection.
pub(super) struct Frames<'a> {
    io: &'a Async<TcpStream>,
    decoder: Decoder,
    buffer: Vec<u8>,
}

impl<'a> Frames<'a> {
    /// Frames up to this size.
    pub(super) fn new(io: &'a Async<TcpStream>, max_frame_bytes: usize) -> Frames<'a> {
        Frames { io, decoder: Decoder::with_most(max_frame_bytes), buffer: vec![0; 16 * 1024] }
    }

    /// The next one; `None` where the other side has ended.
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

/// Writes what comes by the channel until it is closed, many frames at once if they are there.
/// `on_sent` is told of each write: its frames, and its bytes.
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
        // A large frame goes in pieces, each with its own time.
        for chunk in bytes.chunks(MAX_WRITE_BATCH_BYTES) {
            with_timeout(WRITE_TIMEOUT, writer.write_all(chunk)).await?;
        }
        on_sent(&batch, bytes.len());
    }
    Ok(())
}
