//! Single requests to the lease group, each on a connection of its own. Operator commands, replica nodes and starting
//! members use them; a holder of leases keeps a session instead.

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

/// Time for one attempt, from connecting to the answer.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause after a failed attempt, before the next member is tried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Sends a request to one member on a new connection and returns the answer.
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

/// Sends a request to the leader, trying one member after another until `timeout` has passed. The error contains the
/// reason of the last failed attempt.
///
/// A request is sent again after an attempt without an answer, so it must be safe to repeat.
pub async fn leader(endpoints: &[Endpoint], request: &Request, timeout: Duration) -> Result<Answer, String> {
    let deadline = Instant::now() + timeout;
    let mut endpoint = endpoints.first().ok_or("no group member is configured")?.1;
    let mut last_error = String::from("no attempt was made");
    while Instant::now() < deadline {
        let delay = match once(endpoint, request).await {
            Ok(Answer::NotLeader { leader, at }) => {
                last_error = format!("{endpoint} is not the leader");
                endpoint = next_endpoint(endpoints, endpoint, leader, at);
                RETRY_DELAY
            }
            Ok(Answer::Later { retry_after_ms }) => {
                last_error = format!("{endpoint} asked to retry later");
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
    Err(format!("the group did not answer within {} ms: {last_error}", timeout.as_millis()))
}
