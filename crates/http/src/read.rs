//! Reading of message bodies, with limits on size and time.

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use serde::de::DeserializeOwned;
use std::time::Duration;
use thiserror::Error;

/// Why a body could not be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The body exceeds the size limit.
    #[error("body exceeds {max} bytes")]
    Size {
        /// The limit, in bytes.
        max: usize,
    },
    /// All bodies together exceed the memory that they may use.
    #[error("bodies exceed {max} bytes together")]
    Memory {
        /// The limit, in bytes.
        max: usize,
    },
    /// The body did not arrive in time.
    #[error("body did not arrive within {0:?}")]
    Timeout(Duration),
    /// The transfer broke off before the end of the body.
    #[error("body transfer broke off: {0}")]
    Broken(String),
    /// The body is not valid JSON of the expected type.
    #[error("invalid body: {0}")]
    Form(#[from] serde_json::Error),
}

/// Reads a complete body.
///
/// # Errors
///
/// The body is larger than `max` bytes, takes longer than `timeout`, or breaks off.
pub async fn read_body<B>(body: B, max: usize, timeout: Duration) -> Result<Bytes, ReadError>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let reading = Limited::new(body, max).collect();
    match tokio::time::timeout(timeout, reading).await {
        Err(_) => Err(ReadError::Timeout(timeout)),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ReadError::Size { max }),
        Ok(Err(error)) => Err(ReadError::Broken(error.to_string())),
    }
}

/// Reads a complete body that may take long on a slow link, as long as it makes progress.
///
/// # Errors
///
/// The body is larger than `max` bytes, no part of it arrives for `patience`, it takes longer than
/// `timeout`, or it breaks off.
pub async fn read_long_body<B>(
    mut body: B,
    max: usize,
    patience: Duration,
    timeout: Duration,
) -> Result<Bytes, ReadError>
where
    B: http_body::Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let reading = async {
        let mut content = BytesMut::new();
        loop {
            let frame = tokio::time::timeout(patience, body.frame()).await;
            let Some(frame) = frame.map_err(|_| ReadError::Timeout(patience))? else {
                return Ok(content.freeze());
            };
            let frame = frame.map_err(|error| ReadError::Broken(error.into().to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            if content.len() + data.len() > max {
                return Err(ReadError::Size { max });
            }
            content.extend_from_slice(&data);
        }
    };
    tokio::time::timeout(timeout, reading).await.map_err(|_| ReadError::Timeout(timeout))?
}

/// Reads a complete body and decodes it as JSON.
///
/// # Errors
///
/// As [`read_body`], or the body is not valid JSON of the expected type.
pub async fn read_json<T, B>(body: B, max: usize, timeout: Duration) -> Result<T, ReadError>
where
    T: DeserializeOwned,
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let content = read_body(body, max, timeout).await?;
    Ok(serde_json::from_slice(&content)?)
}

#[cfg(test)]
mod tests;
