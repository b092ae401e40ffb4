//! Generations sent to engines without a daemon, to tell the daemon's part of the latency.

use super::RequestRecord;
use super::caller::{Next, Prompt, RequestOutcome, check_answer};
use spindle_engine::{Engine, GenerateRequest, Generation, GenerationEvent, HttpEngine};
use spindle_types::{Attempt, Model, RequestId};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::time::Instant;

/// Sends generations to engines in turn.
#[derive(Debug)]
pub(super) struct Direct {
    engine: HttpEngine,
    engines: Vec<SocketAddr>,
    next: AtomicUsize,
}

impl Direct {
    pub(super) fn new(engines: Vec<SocketAddr>) -> Self {
        Self { engine: HttpEngine::new(), engines, next: AtomicUsize::default() }
    }

    /// Sends a generation once and reads its answer.
    pub(super) async fn generate(
        &self,
        model: &Model,
        prompt: Prompt<'_>,
        began: Instant,
        record: &mut RequestRecord,
    ) -> Next {
        let index = self.next.fetch_add(1, Ordering::Relaxed);
        let address = self.engines[index % self.engines.len()];
        let request = GenerateRequest {
            request: RequestId(index as u128),
            attempt: Attempt(1),
            model: model.clone(),
            adapter: None,
            prompt: prompt.heard(),
            produced: Vec::new(),
            kv: None,
            max_tokens: prompt.max_tokens,
            priority: prompt.priority,
        };
        let mut stream = match self.engine.generate(address, &request).await {
            Ok(stream) => stream,
            Err(error) => return Next::End(RequestOutcome::Lost, error.to_string()),
        };
        let mut content = String::new();
        loop {
            let chunk = match stream.next().await {
                GenerationEvent::Chunk(chunk) => chunk,
                GenerationEvent::Broken(error) => return Next::End(RequestOutcome::Lost, error),
            };
            record.tokens += u32::try_from(chunk.tokens.len()).unwrap_or(u32::MAX);
            content.extend(chunk.tokens.iter().map(String::as_str));
            record
                .on_tokens(began.elapsed(), u32::try_from(chunk.tokens.len()).unwrap_or(u32::MAX));
            if chunk.finish.is_some() {
                return check_answer(model, prompt, &content);
            }
        }
    }
}
