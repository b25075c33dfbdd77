//! Generating: attempts at engines, spliced into one whole answer.

use std::net::SocketAddr;
use std::time::Duration;

use sequoiastream_caller::Answer;
use sequoiastream_caller::AnswerEvent;
use sequoiastream_caller::Finish;
use sequoiastream_caller::GenerateCall;
use sequoiastream_caller::Refusal;
use sequoiastream_core::arena::ServiceKey;
use sequoiastream_core::log_event;
use sequoiastream_core::name::Name;
use sequoiastream_core::outcome::Reason;
use sequoiastream_core::outcome::Unsent;
use sequoiastream_core::splice::Splice;
use sequoiastream_core::splice::Verdict;
use sequoiastream_upstream::EngineStream;
use sequoiastream_upstream::UpstreamError;
use sequoiastream_upstream::wire::GenerateBody;
use tokio::sync::mpsc;
use uuid::Uuid;

use crate::log_event;
use crate::ops::dispatch::Dispatch;
use crate::util::clock;

/// Attempts at one request.
const MAX_ATTEMPTS: usize = 3;

/// When to come back if no engine can take work.
const COME_BACK: Duration = Duration::from_secs(1);

/// Starts to generate in a task of its own; the answer's events come through the returned channel.
pub fn start(dispatch: &Dispatch, call: GenerateCall) -> Result<Answer, Refusal> {
    let unsent = Unsent::begin();
    let snapshot = dispatch.shared.snapshot.load();
    let Some(service) = snapshot.service_of(&call.model) else {
        let proof = unsent.refuse(Reason::UnknownService);
        return Err(Refusal::not_run(
            proof,
            format!("there is no model or service `{}`", call.model),
        ));
    };
    let (sender, events) = mpsc::unbounded_channel();
    let run = Run {
        dispatch: dispatch.clone(),
        splice: Splice::new(call.offset),
        call,
        service,
        sender,
        tried: Vec::new(),
    };
    actix::spawn(run.run());
    Ok(Answer { events })
}

struct Run {
    dispatch: Dispatch,
    call: GenerateCall,
    service: ServiceKey,
    splice: Splice,
    sender: mpsc::UnboundedSender<AnswerEvent>,
    tried: Vec<Name>,
}

struct Target {
    name: Name,
    address: SocketAddr,
}

impl Run {
    async fn run(mut self) {
        let mut last = None;
        for _ in 0..MAX_ATTEMPTS {
            let Some(target) = self.pick() else { break };
            let result = self.attempt(&target).await;
            self.dispatch.shared.router().done(&target.name);
            match result {
                Ok(Some(finish)) => return self.send(AnswerEvent::Done(finish)),
                Ok(None) => return,
                Err(error) => {
                    log_event!(warn, log_event::ATTEMPT_FAILED, engine = %target.name, %error);
                    self.tried.push(target.name);
                    last = Some(error);
                }
            }
        }
        self.send(AnswerEvent::Failed(refusal(last)));
    }

    fn pick(&self) -> Option<Target> {
        let snapshot = self.dispatch.shared.snapshot.load();
        let mut router = self.dispatch.shared.router();
        let mut except = self.dispatch.shared.held(clock::now());
        except.extend_from_slice(&self.tried);
        let key = router.pick(&snapshot, self.service, &except)?;
        let engine = snapshot.engines.get(key)?;
        Some(Target {
            name: engine.name.clone(),
            address: engine.address,
        })
    }

    /// One attempt; `None` if the caller went away.
    async fn attempt(&mut self, target: &Target) -> Result<Option<Finish>, UpstreamError> {
        let attempt = Uuid::new_v4();
        let offset = self.splice.open(attempt);
        let body = GenerateBody {
            attempt,
            model: self.call.model.clone(),
            prompt: self.call.prompt.clone(),
            limit: self.call.limit,
            seed: self.call.seed,
            offset,
            priority: 0,
            import: None,
        };
        let mut stream = self.dispatch.engines.generate(target.address, &body).await?;
        let result = self.relay(&mut stream).await;
        self.splice.close();
        if let Ok(None) = result {
            let _ = self.dispatch.engines.cancel(target.address, attempt).await;
        }
        result
    }

    async fn relay(&mut self, stream: &mut EngineStream) -> Result<Option<Finish>, UpstreamError> {
        loop {
            let piece = tokio::select! {
                piece = stream.next() => piece?,
                () = self.sender.closed() => return Ok(None),
            };
            let Some(piece) = piece else {
                return Err(UpstreamError::Broken("the answer ended early".to_string()));
            };
            match piece.finish {
                Some(finish) if self.splice.on_finish(piece.attempt, piece.offset) => {
                    return Ok(Some(Finish {
                        reason: finish.reason,
                        prompt: finish.prompt,
                        cached: finish.cached,
                        output: piece.offset,
                    }));
                }
                Some(_) => {}
                None => match self.splice.on_token(piece.attempt, piece.offset) {
                    Verdict::Deliver => self.send(AnswerEvent::Token(piece.offset, piece.text)),
                    Verdict::Foreign | Verdict::Repeat => {}
                    Verdict::Gap => return Err(UpstreamError::Malformed("a token is missing".to_string())),
                },
            }
        }
    }

    fn send(&self, event: AnswerEvent) {
        // The caller may be gone; then nobody needs the event.
        let _ = self.sender.send(event);
    }
}

fn refusal(last: Option<UpstreamError>) -> Refusal {
    match last {
        None => {
            let proof = Unsent::begin().refuse(Reason::NoEngine).come_back(COME_BACK);
            Refusal::not_run(proof, "no engine can take work now")
        }
        Some(error) => Refusal::failed(format!("the last attempt failed: {error}")),
    }
}
