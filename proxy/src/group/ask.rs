//! One request to the group, by whoever has no connection to keep: operators, and a new member.

use super::frames::Frames;
use super::with_timeout;
use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt;
use notchdoor_coordination::protocol::{Answer, Request};
use notchdoor_coordination::session::{next_endpoint, Endpoint};
use notchdoor_coordination::wire::{encode, Frame, MAX_FRAME};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A member answers one try within this time or is passed over.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1500);
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Asks one member once.
pub async fn once(endpoint: SocketAddr, request: &Request) -> io::Result<Answer> {
    let exchange = async {
        let io = Async::<TcpStream>::connect(endpoint).await?;
        let mut bytes = Vec::new();
        encode(&Frame::Ask { req: 1, request: request.clone() }, &mut bytes);
        (&io).write_all(&bytes).await?;
        match Frames::new(&io, MAX_FRAME).next().await? {
            Some((Frame::Answer { answer, .. }, _)) => Ok(answer),
            Some(_) => Err(io::ErrorKind::InvalidData.into()),
            None => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    };
    with_timeout(ATTEMPT_TIMEOUT, exchange).await
}

/// Asks until the leader has answered or the time is up; the error says who could not be asked. A
/// request is sent again where its answer did not come: each of them is safe to repeat.
pub async fn leader(endpoints: &[Endpoint], request: &Request, timeout: Duration) -> Result<Answer, String> {
    let deadline = Instant::now() + timeout;
    let mut endpoint = endpoints.first().ok_or("no member to ask")?.1;
    let mut last_error = String::from("nobody was asked");
    while Instant::now() < deadline {
        let delay = match once(endpoint, request).await {
            Ok(Answer::NotLeader { leader, at }) => {
                last_error = format!("{endpoint} does not lead and knows of no other that does");
                endpoint = next_endpoint(endpoints, endpoint, leader, at);
                RETRY_DELAY
            }
            Ok(Answer::Later { retry_after_ms }) => {
                last_error = format!("{endpoint} asks to come again later");
                Duration::from_millis(retry_after_ms)
            }
            Ok(answer) => return Ok(answer),
            Err(error) => {
                last_error = format!("{endpoint}: {error}");
                endpoint = next_endpoint(endpoints, endpoint, None, None);
                RETRY_DELAY
            }
        };
        Timer::after(delay.min(deadline.saturating_duration_since(Instant::now()))).await;
    }
    Err(format!("the group did not answer in {} ms: {last_error}", timeout.as_millis()))
}
