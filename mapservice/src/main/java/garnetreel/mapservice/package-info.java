/**
 * The map service: stores the extent maps durably, publishes them to gateways, and carries out migrations. It is a
 * state machine without I/O: {@link garnetreel.mapservice.MapService} dispatches events to components with one
 * responsibility each; decisions on maps and migrations are made in {@link garnetreel.map}.
 */
package garnetreel.mapservice;
