//! Gotham handler that calls a plain function with a shared context.

use std::panic::RefUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;

use gotham::handler::{Handler, HandlerFuture, NewHandler};
use gotham::state::{FromState, State};
use hyper::{HeaderMap, Method, Request, Response, Uri};

use crate::Body;

/// Future that a handler function returns.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// Handler that passes a shared context and the request to a function.
pub struct Function<C> {
    context: Arc<C>,
    run: fn(Arc<C>, Request<Body>) -> ResponseFuture,
}

impl<C> Function<C> {
    /// Creates a handler from a context and a function.
    pub const fn new(context: Arc<C>, run: fn(Arc<C>, Request<Body>) -> ResponseFuture) -> Self {
        Self { context, run }
    }
}

impl<C> Clone for Function<C> {
    fn clone(&self) -> Self {
        Self {
            context: Arc::clone(&self.context),
            run: self.run,
        }
    }
}

/// After a panic in one request, the others can still use the context: no lock is held across
/// calls into foreign code, and the locks of the context don't poison.
impl<C> RefUnwindSafe for Function<C> {}

impl<C: Send + Sync + 'static> NewHandler for Function<C> {
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self::Instance> {
        Ok(self.clone())
    }
}

impl<C: Send + Sync + 'static> Handler for Function<C> {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        let request = take_request(&mut state);
        Box::pin(async move {
            let response = (self.run)(self.context, request).await;
            Ok((state, response))
        })
    }
}

fn take_request(state: &mut State) -> Request<Body> {
    let mut request = Request::new(Body::take_from(state));
    *request.method_mut() = Method::take_from(state);
    *request.uri_mut() = Uri::take_from(state);
    *request.headers_mut() = HeaderMap::take_from(state);
    request
}
