//! Large bodies of legal size that stop short of their end.

use crate::{
    cases,
    client::Crowd,
    entry::{Entry, JOB, SMALL_MACHINE, submission},
};
use bytes::Bytes;
use eyre::{Result, ensure};
use primroseroute_adapter_standin::settings::MAX_BODY_BYTES;

/// Clients of a crowd whose bodies are as large as they may be.
const CLIENTS: usize = 400;

cases! {
    /// Memory that grows with the bodies that callers have begun to send.
    whole_bodies => hold(CLIENTS, whole());
    /// Read buffers that stay alive with the small part of a body that each has brought.
    bodies_in_pieces => hold(CLIENTS, pieces());
    /// Bodies of no declared length.
    chunked_bodies => hold(CLIENTS, vec![head(CHUNKED), one_chunk()]);
    /// The cost of a chunk taken for its length.
    small_chunks => hold(150, vec![head(CHUNKED), single_bytes(20_000)]);
    /// The cost of a chunk taken for its length, in bodies as large as they may be.
    many_small_chunks => hold(20, vec![head(CHUNKED), single_bytes(262_000)]);
    /// A body of legal size that is refused while nothing else is sent.
    largest_body_is_accepted_in_calm => largest();
    /// A body of legal size that is refused for its chunks while nothing else is sent.
    largest_chunked_body_is_accepted_in_calm => largest_chunked();
}

const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";

fn head(fields: &str) -> Bytes {
    submission(1, fields).into()
}

fn whole() -> Vec<Bytes> {
    let length = format!("content-length: {MAX_BODY_BYTES}\r\n\r\n");
    vec![head(&length), vec![b' '; MAX_BODY_BYTES - 1].into()]
}

fn pieces() -> Vec<Bytes> {
    let [head, body] = whole().try_into().expect("a head and a body");
    let mut pieces = vec![head];
    pieces.extend((0..body.len()).step_by(4_096).map(|begin| {
        let end = (begin + 4_096).min(body.len());
        body.slice(begin..end)
    }));
    pieces
}

fn one_chunk() -> Bytes {
    let mut chunk = format!("{MAX_BODY_BYTES:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + MAX_BODY_BYTES - 1, b' ');
    chunk.into()
}

fn single_bytes(count: usize) -> Bytes {
    "1\r\n \r\n".repeat(count).into()
}

async fn hold(clients: usize, pieces: Vec<Bytes>) -> Result<()> {
    let mut entry = Entry::start(SMALL_MACHINE).await?;
    let crowd = Crowd::open(entry.callers, clients, pieces).await;
    ensure!(crowd.len() > 0, "no client is connected");
    entry.check().await
}

/// A job with white space up to the largest body.
fn padded() -> String {
    let mut body = JOB.to_owned();
    body.extend(std::iter::repeat_n(' ', MAX_BODY_BYTES - JOB.len()));
    body
}

async fn largest() -> Result<()> {
    let entry = Entry::start(SMALL_MACHINE).await?;
    let status = entry.submit(2, &padded()).await?;
    ensure!(status == 200, "a body of legal size is answered {status}");
    Ok(())
}

async fn largest_chunked() -> Result<()> {
    let entry = Entry::start(SMALL_MACHINE).await?;
    let mut request = submission(3, CHUNKED);
    for byte in padded().chars() {
        request.push_str("1\r\n");
        request.push(byte);
        request.push_str("\r\n");
    }
    request.push_str("0\r\n\r\n");
    let status = crate::client::answer(entry.callers, request.as_bytes()).await?;
    ensure!(status == 200, "a body of legal size is answered {status}");
    Ok(())
}
